#include "dispatch/completion_reader.h"

#include <utility>

#include "base/json.h"

namespace mulberryroad::dispatch {

namespace {

// True if the version ranges of a chunk cover each of its tokens, in order.
bool VersionsCoverAllTokens(const v1::CompletionChunk& chunk) {
  std::uint32_t next = 0;
  for (const v1::VersionRange& range : chunk.versions()) {
    if (range.begin_token() != next || range.end_token() < next) {
      return false;
    }
    next = range.end_token();
  }
  return next == chunk.tokens();
}

}  // namespace

void AppendVersionRanges(
    const google::protobuf::RepeatedPtrField<v1::VersionRange>& added,
    std::uint32_t begin, std::vector<v1::VersionRange>* versions) {
  for (const v1::VersionRange& range : added) {
    if (range.begin_token() == range.end_token()) {
      continue;
    }
    const std::uint32_t range_begin = begin + range.begin_token();
    const std::uint32_t range_end = begin + range.end_token();
    const bool contiguous = !versions->empty() &&
                            versions->back().version() == range.version() &&
                            versions->back().end_token() == range_begin;
    if (contiguous) {
      versions->back().set_end_token(range_end);
      continue;
    }
    v1::VersionRange shifted;
    shifted.set_begin_token(range_begin);
    shifted.set_end_token(range_end);
    shifted.set_version(range.version());
    versions->push_back(std::move(shifted));
  }
}

CompletionReader::CompletionReader(RequestId request_id,
                                   std::uint32_t first_token)
    : request_id_(std::move(request_id)), first_token_(first_token) {}

std::vector<GenerationChunk> CompletionReader::Feed(std::string_view bytes) {
  std::vector<GenerationChunk> pieces;
  if (error_.has_value()) {
    return pieces;
  }
  for (const std::string& event : parser_.Feed(bytes)) {
    v1::CompletionChunk chunk;
    std::string reason;
    if (!base::FromJson(event, &chunk, &reason)) {
      error_ = "malformed chunk: " + reason;
      break;
    }
    if (std::optional<GenerationChunk> piece = ProcessChunk(chunk)) {
      pieces.push_back(*std::move(piece));
    }
    if (error_.has_value()) {
      break;
    }
  }
  if (parser_.overflowed()) {
    error_ = "a chunk is too long";
  }
  return pieces;
}

std::optional<GenerationChunk> CompletionReader::ProcessChunk(
    const v1::CompletionChunk& chunk) {
  if (chunk.request_id() != request_id_.value()) {
    error_ = "the answer is that of request \"" + chunk.request_id() + "\"";
    return std::nullopt;
  }
  if (final_chunk_received_) {
    error_ = "a chunk came after the last one";
    return std::nullopt;
  }
  if (!VersionsCoverAllTokens(chunk)) {
    error_ = "a chunk does not name the weight version of each token";
    return std::nullopt;
  }
  GenerationChunk piece;
  piece.text = chunk.text();
  piece.tokens = chunk.tokens();
  AppendVersionRanges(chunk.versions(), first_token_ + tokens_,
                      &piece.versions);
  AppendVersionRanges(chunk.versions(), first_token_ + tokens_, &versions_);
  text_ += chunk.text();
  tokens_ += chunk.tokens();
  if (chunk.prompt_tokens() > 0) {
    prompt_tokens_ = chunk.prompt_tokens();
  }
  final_chunk_received_ = chunk.done();
  return piece;
}

std::uint32_t CompletionReader::observed_version() const {
  return versions_.empty() ? 0 : versions_.back().version();
}

}  // namespace mulberryroad::dispatch
