/** @file
    A fleet in virtual time whose replicas are of several software versions: streams begin, break off and are taken up while
    nodes, replicas and the store fail. It runs the product's decisions and its messages, without input or output.
*/
#pragma once

#include "snowrudder_serving/streams/StreamHolders.h"
#include "snowrudder_serving/streams/StreamMessages.h"

#include <cstdint>
#include <string>
#include <vector>

namespace snowrudder
{

/** Which faults a seed draws. */
enum class StreamFaults
{
    none,
    /** A third of the nodes ends at one moment, and every stream is taken up within 3 s after it. */
    thirdEnds,
    /** All nodes are restarted in turn, and streams are taken up within 3 s after it. */
    restartsInTurn,
    /** All that can happen to nodes, replicas, datagrams and the store. */
    all,
    /** All, and replicas that start again within a second of their end, under their name, with another version. */
    quickRestarts
};

/** What was counted in one run. */
struct StreamRun
{
    std::size_t streams = 0;
    /** Streams that hold events of two versions. */
    std::size_t crossed = 0;
    /** Tries to take a stream up, while a replica of its version was listed and took work. */
    std::size_t possible = 0;
    std::size_t wentOn = 0;
    /** The largest number of nodes that were asked for one try. */
    std::size_t mostAsked = 0;
    /** Description of the first crossed stream. */
    std::string firstCrossed;
};

/** Plays one seed: some streams at a fleet of that many nodes. */
auto playStreams (std::size_t nodes, std::uint64_t seed, StreamFaults faults) -> StreamRun;

} // namespace snowrudder
