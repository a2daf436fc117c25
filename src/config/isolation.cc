#include "config/isolation.h"

namespace mulberryroad::config {

namespace {
// A part of the nodes that reaches at most this share of the others may be cut
// off from the part that reads the log.
constexpr double kMajority = 0.5;
}  // namespace

Authority Judge(const Contact& contact, std::chrono::milliseconds limit) {
  if (contact.behind > limit) {
    return Authority::kIsolated;
  }
  if (contact.log_read && contact.log_silence <= limit) {
    return Authority::kLog;
  }
  const bool peers_read = contact.peers_log_silence.has_value() &&
                          *contact.peers_log_silence <= limit;
  if (peers_read && contact.peer_silence <= limit) {
    return Authority::kPeers;
  }
  if (!contact.log_read) {
    return Authority::kIsolated;
  }
  if (contact.peers_known == 0) {
    return Authority::kOutage;
  }
  const bool most_in_reach =
      contact.peer_silence <= limit && contact.reach > kMajority;
  return most_in_reach ? Authority::kOutage : Authority::kIsolated;
}

}  // namespace mulberryroad::config
