#include "PromptBlocks.h"

#include "snowrudder_core/snowrudder_core.h"

#include <algorithm>

namespace snowrudder
{

auto promptBlocks (std::string_view prompt, std::string_view account) -> std::vector<std::uint64_t>
{
    const auto count = std::min (prompt.size() / promptBlockBytes, maxPromptBlocks);

    std::vector<std::uint64_t> blocks;
    blocks.reserve (count);
    auto chain = hashBytes (account);

    for (auto index = std::size_t { 0 }; index < count; ++index)
    {
        chain = hashBytes (prompt.substr (index * promptBlockBytes, promptBlockBytes), chain);
        blocks.push_back (chain);
    }

    return blocks;
}

} // namespace snowrudder
