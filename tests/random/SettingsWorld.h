#pragma once

#include "Breakage.h"
#include "VirtualTime.h"

#include "snowrudder_admin/snowrudder_admin.h"
#include "snowrudder_fakes/platform/KeyValueModel.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace snowrudder
{

/** Operators who race one another for the settings tree while the platform's service loses answers, is down, and lets writes
    take effect late. The procedure is the program's own. It checks what each operator was told against every tree that was
    ever the head.
*/
class SettingsWorld
{
public:
    SettingsWorld (std::uint64_t seed, Breakage breakageOnPurpose, std::size_t mostEvents);

    auto run() -> void;

    [[nodiscard]] auto trace() const -> const std::vector<std::string>& { return log; }
    [[nodiscard]] auto editCount() const -> std::size_t { return told.size(); }
    [[nodiscard]] auto storedCount() const -> std::size_t;

private:
    struct Operator
    {
        std::string name;
        std::size_t edits = 0;
        std::string editId;
        std::uint64_t baseRevision = 0;
        std::size_t asked = 0;
        std::optional<EditProcedure> procedure;
    };

    auto startEdit (Operator& person) -> void;
    auto ask (Operator& person) -> void;
    auto step (Operator& person) -> void;
    auto makeCall (const StoreCall& call) -> StoreResponse;
    auto read (const std::string& key) -> StoreResponse;
    auto write (const StoreCall& call) -> StoreResponse;
    auto apply (const StoreCall& call) -> std::optional<std::uint64_t>;
    auto noteHead (const std::string& text, std::uint64_t revision) -> void;
    auto finish (Operator& person, const EditResult& result) -> void;
    auto checkTold() const -> void;

    VirtualTime time;
    Breakage breakage;
    KeyValueModel store;
    bool down = false;
    std::vector<Operator> operators;
    /** Edits in the order in which they were the head, with their revisions. */
    std::vector<std::pair<std::string, std::uint64_t>> heads;
    /** What operators were told last of each edit. */
    std::map<std::string, EditResult::Kind> told;
    std::map<std::string, std::uint64_t> toldRevision;
    std::vector<std::string> log;
};

} // namespace snowrudder
