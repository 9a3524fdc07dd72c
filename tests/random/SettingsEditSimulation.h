#pragma once

#include "InjectedBug.h"
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
class SettingsEditSimulation
{
public:
    SettingsEditSimulation (std::uint64_t seed, InjectedBug injectedBug, std::size_t maxEvents);

    auto run() -> void;

    [[nodiscard]] auto trace() const -> const std::vector<std::string>& { return log; }
    [[nodiscard]] auto editCount() const -> std::size_t { return reportedResults.size(); }
    [[nodiscard]] auto storedCount() const -> std::size_t;

private:
    struct Operator
    {
        std::string name;
        std::size_t edits = 0;
        std::string editId;
        std::uint64_t knownRevision = 0;
        std::size_t attempts = 0;
        std::optional<EditProcedure> procedure;
    };

    auto startEdit (Operator& editor) -> void;
    auto submitEdit (Operator& editor) -> void;
    auto step (Operator& editor) -> void;
    auto makeCall (const StoreCall& call) -> StoreAnswer;
    auto read (const std::string& key) -> StoreAnswer;
    auto write (const StoreCall& call) -> StoreAnswer;
    auto apply (const StoreCall& call) -> std::optional<std::uint64_t>;
    auto recordHead (const std::string& text, std::uint64_t revision) -> void;
    auto finish (Operator& editor, const EditResult& result) -> void;
    auto checkReportedResults() const -> void;

    VirtualTime time;
    InjectedBug bug;
    KeyValueModel store;
    bool isDown = false;
    std::vector<Operator> operators;
    /** Edits in the order in which they were the head, with their revisions. */
    std::vector<std::pair<std::string, std::uint64_t>> heads;
    /** What operators were told last of each edit. */
    std::map<std::string, EditResult::Kind> reportedResults;
    std::map<std::string, std::uint64_t> reportedRevisions;
    std::vector<std::string> log;
};

} // namespace snowrudder
