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

/** Simulates operators who concurrently edit the settings tree while the platform's key-value service loses responses, has
    outages, and applies writes late. The edit procedure is the production code. The results that were reported to the
    operators are checked against all trees that were ever the head.
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
        std::uint64_t baseRevision = 0;
        std::size_t attempts = 0;
        std::optional<EditProcedure> procedure;
    };

    auto startEdit (Operator& person) -> void;
    auto submitEdit (Operator& person) -> void;
    auto step (Operator& person) -> void;
    auto makeCall (const StoreCall& call) -> StoreResponse;
    auto read (const std::string& key) -> StoreResponse;
    auto write (const StoreCall& call) -> StoreResponse;
    auto apply (const StoreCall& call) -> std::optional<std::uint64_t>;
    auto recordHead (const std::string& text, std::uint64_t revision) -> void;
    auto finish (Operator& person, const EditResult& result) -> void;
    auto checkReportedResults() const -> void;

    VirtualTime time;
    InjectedBug bug;
    KeyValueModel store;
    bool isDown = false;
    std::vector<Operator> operators;
    /** The edits in the order in which they became the head, with their revisions. */
    std::vector<std::pair<std::string, std::uint64_t>> heads;
    /** The last result of each edit that was reported to its operator. */
    std::map<std::string, EditResult::Kind> reportedResults;
    std::map<std::string, std::uint64_t> reportedRevisions;
    std::vector<std::string> log;
};

} // namespace snowrudder
