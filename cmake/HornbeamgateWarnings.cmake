# Strict warnings for every target of this project.
add_library(hornbeamgate-warnings INTERFACE)
target_compile_options(hornbeamgate-warnings INTERFACE
  -Wall -Wextra -Wpedantic -Wshadow -Wconversion -Wnon-virtual-dtor -Wold-style-cast
  -Woverloaded-virtual -Werror)
# g++ 12 reports members of std::variant alternatives and of Boost.Accumulators that are never read uninitialized.
target_compile_options(hornbeamgate-warnings INTERFACE -Wno-maybe-uninitialized)
target_compile_features(hornbeamgate-warnings INTERFACE cxx_std_20)
