#include "RequestSource.h"

#include "snowrudder_chat/snowrudder_chat.h"
#include "snowrudder_fakes/snowrudder_fakes.h"

#include <boost/json.hpp>

#include <cmath>

namespace snowrudder
{

namespace json = boost::json;

namespace
{

/** @returns pseudo-random words that are determined by the seed. */
auto makeWords (std::uint64_t seed, std::uint32_t count) -> std::string
{
    std::string text;

    for (auto position = std::uint32_t { 0 }; position < count; ++position)
        text += answerWord (seed, position);

    return text;
}

} // namespace

RequestSource::RequestSource (const schema::LoadSettings& workload,
                              std::uint64_t streamSeed,
                              double rateFactor)
    : settings (workload), seed (combineHashes (workload.seed(), streamSeed)), random (seed)
{
    std::vector<double> rates;

    for (const auto& kind : settings.classes())
    {
        rates.push_back (kind.requests_per_second() * rateFactor);
        totalRate += rates.back();
    }

    classes = std::discrete_distribution<std::size_t> (rates.begin(), rates.end());
}

auto RequestSource::nextInterval() -> Duration
{
    const auto seconds = std::exponential_distribution<double> (totalRate) (random);
    return std::chrono::duration_cast<Duration> (std::chrono::duration<double> (seconds));
}

auto RequestSource::next() -> PlannedRequest
{
    PlannedRequest request;
    request.classIndex = classes (random);
    request.kind = &settings.classes (static_cast<int> (request.classIndex));
    ++planned;

    if (request.kind->shape() == schema::CHAT)
        planChat (request);
    else
        planCall (request);

    return request;
}

auto RequestSource::planChat (PlannedRequest& request) -> void
{
    const auto& kind = *request.kind;

    // The shared parts are derived from the workload's seed, so that they are the same in all threads.
    const auto classSeed = hashBytes (kind.name(), settings.seed());
    const auto document = drawDocument (kind.documents());
    const auto system = makeWords (classSeed, std::max (1U, kind.shared_words()));
    auto user = kind.documents() > 0
                    ? makeWords (combineHashes (classSeed, document + 1), kind.document_words())
                    : "";
    user += " ";
    user += makeWords (combineHashes (seed, planned), std::max (1U, kind.question_words()));

    json::object body;
    body["model"] = kind.model();
    body["stream"] = kind.stream();

    if (kind.stream())
        body["stream_options"].emplace_object()["include_usage"] = true;

    if (kind.has_max_tokens())
        body["max_tokens"] = kind.max_tokens();

    auto& messages = body["messages"].emplace_array();
    messages.emplace_back (makeObject ("role", "system", "content", system));
    messages.emplace_back (makeObject ("role", "user", "content", user));

    const auto prompt = promptText (body);
    request.expectedText = expectedAnswer (answerSeed (kind.model(), prompt), kind.max_tokens());

    const auto tokens = wordHashes (prompt);
    request.promptWords = static_cast<std::uint32_t> (tokens.size());

    // Client accounts don't share cached blocks, so the hashes are salted with the account's key.
    request.promptBlocks = makeChain (tokens, engineBlockTokens, hashBytes (kind.key())).blocks;
    request.body = json::serialize (body);
}

auto RequestSource::planCall (PlannedRequest& request) -> void
{
    request.callKey = request.kind->name() + "-" + std::to_string (seed) + "-" + std::to_string (planned);

    if (request.kind->body_bytes() > 0)
        request.body = std::string (request.kind->body_bytes(), 'x');
}

auto RequestSource::drawDocument (std::uint32_t count) -> std::uint32_t
{
    if (count == 0)
        return 0;

    // A few documents are used most often: the document of rank r has a weight of 1 / (r + 1).
    const auto uniform = std::uniform_real_distribution<double> (0.0, 1.0) (random);
    const auto rank = std::pow (static_cast<double> (count) + 1.0, uniform) - 1.0;
    return std::min (count - 1, static_cast<std::uint32_t> (rank));
}

} // namespace snowrudder
