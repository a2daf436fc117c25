#include "config/isolation.h"

#include <criterion/criterion.h>

namespace mulberryroad::config {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kLimit{5'000};
constexpr milliseconds kFresh{800};
constexpr milliseconds kOld{60'000};

const char* Name(Authority authority) {
  switch (authority) {
    case Authority::kLog:
      return "log";
    case Authority::kPeers:
      return "peers";
    case Authority::kOutage:
      return "outage";
    case Authority::kIsolated:
      return "isolated";
  }
  return "?";
}

Test(isolation, keys_are_refused_only_where_a_withdrawal_may_be_unknown) {
  struct Case {
    const char* name;
    Contact contact;
    Authority expected;
  };
  const Case cases[] = {
      {"all is well",
       {kFresh, true, milliseconds(0), kFresh, kFresh, 11, 1.0},
       Authority::kLog},
      {"reads the log, no peer in reach",
       {kFresh, true, milliseconds(0), kOld, kOld, 11, 0.0},
       Authority::kLog},
      {"at the limit",
       {kLimit, true, milliseconds(0), kOld, kOld, 11, 0.0},
       Authority::kLog},
      {"cut off from the log, peers read it",
       {kOld, true, milliseconds(0), kFresh, kFresh, 11, 1.0},
       Authority::kPeers},
      {"cut off from the log, one of many peers reads it",
       {kOld, true, milliseconds(0), kFresh, kFresh, 11, 0.1},
       Authority::kPeers},
      {"nobody reads the log, all peers in reach",
       {kOld, true, milliseconds(0), kFresh, kOld, 11, 1.0},
       Authority::kOutage},
      {"nobody reads the log, one of two peers died",
       {kOld, true, milliseconds(0), kFresh, kOld, 2, 0.6},
       Authority::kOutage},
      {"cut off from log and peers",
       {kOld, true, milliseconds(0), kOld, kOld, 11, 0.0},
       Authority::kIsolated},
      {"cut off a moment ago from peers that read the log",
       {kLimit + milliseconds(1), true, milliseconds(0),
        kLimit + milliseconds(1), kLimit + milliseconds(1), 11, 0.0},
       Authority::kIsolated},
      {"a small part of the nodes, cut off together",
       {kOld, true, milliseconds(0), kFresh, kOld, 11, 0.2},
       Authority::kIsolated},
      {"half of the nodes, cut off together",
       {kOld, true, milliseconds(0), kFresh, kOld, 11, 0.5},
       Authority::kIsolated},
      {"peers never told of the log",
       {kOld, true, milliseconds(0), kOld, std::nullopt, 11, 1.0},
       Authority::kIsolated},
      {"started in an outage, has what a peer of its part has",
       {kOld, false, milliseconds(0), kFresh, kOld, 11, 1.0},
       Authority::kIsolated},
      {"a gap in the stream of configurations, peers read it",
       {kFresh, false, milliseconds(0), kFresh, kFresh, 11, 1.0},
       Authority::kPeers},
      {"a gap in the stream of configurations, no peers",
       {kFresh, false, milliseconds(0), kOld, std::nullopt, 0, 1.0},
       Authority::kIsolated},
      {"knows of a revision that it cannot get",
       {kFresh, true, kOld, kFresh, kFresh, 11, 1.0},
       Authority::kIsolated},
      {"a single node",
       {kOld, true, milliseconds(0), kOld, std::nullopt, 0, 1.0},
       Authority::kOutage},
  };
  for (const Case& c : cases) {
    const Authority found = Judge(c.contact, kLimit);
    cr_expect(found == c.expected, "%s: expected %s, found %s", c.name,
              Name(c.expected), Name(found));
  }
}

}  // namespace
}  // namespace mulberryroad::config
