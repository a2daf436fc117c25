// The pure rule that says whether a node may honour keys while it cannot read
// the log.

#ifndef MULBERRYROAD_SRC_CONFIG_ISOLATION_H_
#define MULBERRYROAD_SRC_CONFIG_ISOLATION_H_

#include <chrono>
#include <cstddef>
#include <optional>

namespace mulberryroad::config {

/// What a node knows of the log, by itself and through its peers.
struct Contact {
  /// Time since the log answered this node.
  std::chrono::milliseconds log_silence{0};
  /// The configurations in the log were read to their end, without a gap.
  bool log_read = true;
  /// Time since a revision is known that this node could not get; 0 if it has
  /// the highest known one.
  std::chrono::milliseconds behind{0};
  /// Time since any peer answered or called.
  std::chrono::milliseconds peer_silence{0};
  /// Shortest time since any peer read the log; nullopt if none ever told.
  std::optional<std::chrono::milliseconds> peers_log_silence;
  /// Nodes known beside this one.
  std::size_t peers_known = 0;
  /// Share of the other nodes that are within reach.
  double reach = 1.0;
};

enum class Authority {
  /// The log answers.
  kLog,
  /// The log does not answer here, but peers read it and pass revisions on.
  kPeers,
  /// Nobody within reach reads the log, and most peers are within reach: keys
  /// of the last configuration are honoured.
  kOutage,
  /// Others may know of a withdrawal that this node cannot know of: keys are
  /// refused.
  kIsolated,
};

/// Decides under which authority keys are honoured.
/// @param limit silence after which a source of news no longer counts
Authority Judge(const Contact& contact, std::chrono::milliseconds limit);

}  // namespace mulberryroad::config

#endif  // MULBERRYROAD_SRC_CONFIG_ISOLATION_H_
