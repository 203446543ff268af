# Installs the libraries with their headers, so that `find_package(hornbeamgate)` gives hornbeamgate::core and
# hornbeamgate::runtime.
include(CMakePackageConfigHelpers)

install(TARGETS hornbeamgate-core hornbeamgate-support hornbeamgate-gateway hornbeamgate-http-parser hornbeamgate-runtime EXPORT hornbeamgate-targets
  ARCHIVE DESTINATION ${CMAKE_INSTALL_LIBDIR})
install(DIRECTORY src/hornbeamgate DESTINATION ${CMAKE_INSTALL_INCLUDEDIR} FILES_MATCHING PATTERN "*.hpp")
install(EXPORT hornbeamgate-targets NAMESPACE hornbeamgate:: DESTINATION ${CMAKE_INSTALL_LIBDIR}/cmake/hornbeamgate)
configure_package_config_file(cmake/hornbeamgate-config.cmake.in "${CMAKE_CURRENT_BINARY_DIR}/hornbeamgate-config.cmake"
  INSTALL_DESTINATION ${CMAKE_INSTALL_LIBDIR}/cmake/hornbeamgate)
write_basic_package_version_file("${CMAKE_CURRENT_BINARY_DIR}/hornbeamgate-config-version.cmake" COMPATIBILITY SameMinorVersion)
install(FILES "${CMAKE_CURRENT_BINARY_DIR}/hornbeamgate-config.cmake" "${CMAKE_CURRENT_BINARY_DIR}/hornbeamgate-config-version.cmake"
  DESTINATION ${CMAKE_INSTALL_LIBDIR}/cmake/hornbeamgate)
