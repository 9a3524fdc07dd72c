#include "MemberKey.h"

#include "snowrudder_core/snowrudder_core.h"
#include "snowrudder_net/snowrudder_net.h"

namespace snowrudder
{

auto memberKeyPart (std::string_view name) -> std::string
{
    constexpr auto maxLength = std::size_t { 80 };
    constexpr auto keptLength = std::size_t { 48 };
    const auto part = segmentText (name);

    // No escaped text contains two percent signs in a row.
    return part.size() <= maxLength ? part
                                    : part.substr (0, keptLength) + "%%" + std::to_string (hashBytes (name));
}

} // namespace snowrudder
