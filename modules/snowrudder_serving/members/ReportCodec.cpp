#include "ReportCodec.h"

#include "node_messages.pb.h"

#include <cmath>

namespace snowrudder
{

namespace
{

/** Digits of the keyed digest before the message. */
constexpr auto digestLength = std::size_t { 64 };

} // namespace

auto encodeReport (const PeerReport& report, std::string_view secret) -> std::string
{
    schema::NodeReport message;
    message.set_node (report.node);
    message.set_failure_domain (report.failureDomain);
    message.set_incarnation (report.incarnation);
    message.set_sequence (report.sequence);
    message.set_configuration_revision (report.configurationRevision);
    message.set_proof_age_milliseconds (static_cast<std::uint32_t> (inMilliseconds (report.proofAge)));
    message.set_leaving (report.leaving);

    for (const auto& [account, use] : report.admitted)
    {
        auto* rate = message.add_rates();
        rate->set_account (account);
        rate->set_amount (use.tokensPerSecond);
        auto* total = message.add_admitted();
        total->set_account (account);
        total->set_amount (use.tokens);
    }

    for (const auto& [service, tokens] : report.work)
    {
        auto* entry = message.add_work();
        entry->set_service (service);
        entry->set_tokens_per_second (tokens);
    }

    for (const auto& [window, counts] : report.usage)
    {
        auto* entry = message.add_usage();
        entry->set_window (window);

        for (const auto& [account, count] : counts)
        {
            auto* figure = entry->add_counts();
            figure->set_account (account);
            figure->set_amount (static_cast<double> (count));
        }
    }

    const auto text = message.SerializeAsString();
    return keyedDigest (secret, text) + text;
}

auto decodeReport (std::string_view datagram, std::string_view secret) -> std::optional<PeerReport>
{
    if (datagram.size() < digestLength || datagram.size() > largestDatagram)
        return {};

    const auto text = datagram.substr (digestLength);

    if (datagram.substr (0, digestLength) != keyedDigest (secret, text))
        return {};

    schema::NodeReport message;

    if (! message.ParseFromArray (text.data(), static_cast<int> (text.size())) || message.node().empty())
        return {};

    PeerReport report;
    report.node = message.node();
    report.failureDomain = message.failure_domain();
    report.incarnation = message.incarnation();
    report.sequence = message.sequence();
    report.configurationRevision = message.configuration_revision();
    report.proofAge = std::chrono::milliseconds (message.proof_age_milliseconds());
    report.leaving = message.leaving();

    for (const auto& entry : message.rates())
        if (std::isfinite (entry.amount()) && entry.amount() >= 0.0)
            report.admitted[entry.account()].tokensPerSecond = entry.amount();

    for (const auto& entry : message.admitted())
        if (std::isfinite (entry.amount()) && entry.amount() >= 0.0)
            report.admitted[entry.account()].tokens = entry.amount();

    for (const auto& entry : message.work())
        if (std::isfinite (entry.tokens_per_second()) && entry.tokens_per_second() >= 0.0)
            report.work[entry.service()] = entry.tokens_per_second();

    for (const auto& entry : message.usage())
        for (const auto& figure : entry.counts())
            if (std::isfinite (figure.amount()) && figure.amount() >= 0.0)
                report.usage[entry.window()][figure.account()] = static_cast<std::uint64_t> (figure.amount());

    return report;
}

} // namespace snowrudder
