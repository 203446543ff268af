#include "hornbeamgate/runtime/version.hpp"

namespace hornbeamgate {

std::string_view version()
{
    return HORNBEAMGATE_VERSION;
}

} // namespace hornbeamgate
