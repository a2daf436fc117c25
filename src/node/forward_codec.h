// Encoding of requests that a node sends through a peer, and of the answers.

#ifndef MULBERRYROAD_SRC_NODE_FORWARD_CODEC_H_
#define MULBERRYROAD_SRC_NODE_FORWARD_CODEC_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "mulberryroad/forward.pb.h"
#include "serving/upstream_caller.h"

namespace mulberryroad::node {

/// Path at which peers forward requests.
inline constexpr char kForwardPath[] = "/peer/forward";

v1::ForwardRequest EncodeForward(const serving::Registration& upstream,
                                 const serving::OutgoingRequest& request,
                                 const serving::CallOptions& options,
                                 std::chrono::milliseconds deadline);
/// Returns nullopt if the method is unknown.
std::optional<serving::OutgoingRequest> DecodeForward(
    const v1::ForwardRequest& forward);

v1::ForwardFrame EncodeHead(const serving::StreamStart& start);
v1::ForwardFrame EncodeEvent(const serving::StreamEvent& event);
v1::ForwardFrame EncodeOutcome(const serving::UpstreamOutcome& outcome);
/// Returns the frame of a peer that forwards nothing.
v1::ForwardFrame MakeRefusal(const std::string& reason);

serving::StreamStart DecodeHead(const v1::ForwardedHead& head);
serving::StreamEvent DecodeEvent(const v1::ForwardedEvent& event);
/// @param outcome of any kind but REFUSED
serving::UpstreamOutcome DecodeOutcome(const v1::ForwardedOutcome& outcome);

/// Returns a frame behind its length.
std::string Serialize(const v1::ForwardFrame& frame);

/// Splits an answer into frames.
class FrameReader {
 public:
  /// Consumes the next bytes and appends the frames that they complete.
  /// @return false if a frame is malformed or larger than kMaxFrameBytes
  bool Feed(std::string_view bytes, std::vector<v1::ForwardFrame>* frames);

  /// Size of the frame that is incomplete.
  std::size_t pending_bytes() const { return pending_.size(); }

  /// Larger than the largest complete response.
  static constexpr std::size_t kMaxFrameBytes =
      http::kDefaultMaxResponseBytes + http::kMaxResponseHeadBytes * 2;

 private:
  std::string pending_;
};

}  // namespace mulberryroad::node

#endif  // MULBERRYROAD_SRC_NODE_FORWARD_CODEC_H_
