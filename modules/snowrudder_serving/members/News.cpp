#include "News.h"

#include <algorithm>

namespace snowrudder
{

namespace
{

/** Questions of the last two seconds may still be answered. */
constexpr auto mostOpen = std::size_t { 12 };

/** Changes told in one answer: some 100 bytes each, in a datagram of 8 KB. */
constexpr auto mostChanges = std::size_t { 48 };

/** Entries that may come back are kept on from answer to answer. The next answer comes before this, and a node that took
    the store for away because it alone is cut off makes others keep them no longer.
*/
constexpr auto longestKept = Duration (600ms);

/** @returns when the question was sent, if it is known and not answered yet. */
auto takeQuestion (NewsState& news, std::uint64_t number) -> std::optional<TimePoint>
{
    const auto found = std::ranges::find (news.open, number, &NewsState::SentQuestion::number);

    if (found == news.open.end())
        return {};

    const auto sent = found->sent;
    news.open.erase (found);
    return sent;
}

/** @returns whether the node told of changes that it had missed before. */
auto hasMissedMore (NewsState& news, const NewsAnswer& answer) -> bool
{
    const auto [known, isFirst] = news.missedChanges.emplace (answer.node, answer.missedChanges);
    const auto hasMore = ! isFirst && known->second != answer.missedChanges;
    known->second = answer.missedChanges;
    return hasMore;
}

} // namespace

auto noteConfigurationHeard (NewsState& news, const ConfigurationState& configuration, std::uint64_t revision)
    -> bool
{
    if (revision <= news.newestConfiguration)
        return false;

    news.newestConfiguration = revision;
    return configuration.current && configuration.current->revision < revision;
}

auto newestConfigurationKnown (const NewsState& news, const ConfigurationState& configuration)
    -> std::uint64_t
{
    return std::max (configuration.current ? configuration.current->revision : 0, news.newestConfiguration);
}

auto makeQuestion (NewsState& news, const ReplicaDirectory& directory, std::string node, TimePoint now)
    -> NewsQuestion
{
    news.open.push_back ({ ++news.lastNumber, now });

    if (news.open.size() > mostOpen)
        news.open.pop_front();

    return { std::move (node), news.lastNumber, directory.revision, {} };
}

auto makeAnswer (const NewsQuestion& question,
                 const NewsState& news,
                 const ConfigurationState& configuration,
                 const ReplicaDirectory& directory,
                 std::string node,
                 TimePoint now) -> NewsAnswer
{
    NewsAnswer answer;
    answer.node = std::move (node);
    answer.number = question.number;

    if (configuration.current)
    {
        answer.configurationRevision = configuration.current->revision;
        answer.proofAge = now - configuration.provenAt;
    }

    answer.directoryAge = now - std::max (news.ownProvenAt, news.provenAt);
    answer.changes = changesAfter (directory, question.directoryRevision, mostChanges);
    answer.missedChanges = directory.missedChanges;
    answer.membersHash = news.membersHash;

    if (now < directory.keepMissingUntil)
        answer.keepMissing = std::min (directory.keepMissingUntil - now, longestKept);

    return answer;
}

auto takeAnswer (NewsState& news,
                 ConfigurationState& configuration,
                 ReplicaDirectory& directory,
                 NewsAnswer answer,
                 TimePoint now) -> NewsEffect
{
    NewsEffect effect;
    const auto sent = takeQuestion (news, answer.number);

    if (sent && answer.membersHash != 0)
    {
        news.membersHashHeard = answer.membersHash;
        news.membersHeardAt = *sent;
    }

    if (! sent)
        return effect;

    const auto provenAt = *sent - answer.proofAge;
    const auto directoryProvenAt = *sent - answer.directoryAge;
    effect.newerConfiguration = noteConfigurationHeard (news, configuration, answer.configurationRevision);

    if (configuration.current && configuration.current->revision == answer.configurationRevision)
        configuration.provenAt = std::max (configuration.provenAt, provenAt);

    // Without a list of its own the node has nothing that changes could be added to, and a node that has just started has
    // nothing to tell of them.
    if (directory.revision == 0 || answer.changes.revision == 0)
        return effect;

    // A node that reads the store itself goes by its own calls, unless it alone is cut off.
    const auto isRecent = now - directoryProvenAt <= newsOverdue;
    const auto takesWord = ! news.isReader || now - news.ownProvenAt > newsOverdue;

    if (takesWord && isRecent && answer.changes.isComplete)
        directory.keepMissingUntil = now + answer.keepMissing;

    // A reader that has just started can't tell what was removed before; the other one can. Of 400 lists of a day with 30 restarts
    // half were made for such answers.
    const auto lacksChanges = ! answer.changes.isComplete && now - news.provenAt > newsOverdue;

    if (hasMissedMore (news, answer) || lacksChanges)
        news.needsList = news.needsList || ! news.isReader;

    if (! answer.changes.isComplete)
        return effect;

    news.provenAt = std::max (news.provenAt, directoryProvenAt);
    effect.directory = applyChanges (directory, std::move (answer.changes), now);
    return effect;
}

} // namespace snowrudder
