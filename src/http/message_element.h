// Elements of HTTP messages that the parsers of requests and responses share.

#ifndef MULBERRYROAD_SRC_HTTP_MESSAGE_ELEMENT_H_
#define MULBERRYROAD_SRC_HTTP_MESSAGE_ELEMENT_H_

#include <string_view>

namespace mulberryroad::http {

/// The next element is incomplete.
struct NeedMore {};
/// A part of the body, without the framing of chunks. Refers to the input.
struct BodyPart {
  std::string_view bytes;
};
/// The message is complete.
struct MessageEnd {};

}  // namespace mulberryroad::http

#endif  // MULBERRYROAD_SRC_HTTP_MESSAGE_ELEMENT_H_
