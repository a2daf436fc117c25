// Body of a request that several attempts and senders share without copies.

#ifndef MULBERRYROAD_SRC_SERVING_SHARED_BODY_H_
#define MULBERRYROAD_SRC_SERVING_SHARED_BODY_H_

#include <memory>
#include <string>
#include <utility>

namespace mulberryroad::serving {

/// Immutable text. Copies share it, as a body may have tens of megabytes.
class SharedBody {
 public:
  SharedBody() : SharedBody(std::string()) {}
  // NOLINTNEXTLINE(google-explicit-constructor): replaces a string
  SharedBody(std::string text)
      : text_(std::make_shared<const std::string>(std::move(text))) {}
  // NOLINTNEXTLINE(google-explicit-constructor): replaces a string
  SharedBody(const char* text) : SharedBody(std::string(text)) {}
  // NOLINTNEXTLINE(google-explicit-constructor): replaces a string
  operator const std::string&() const { return *text_; }

  const std::string& text() const { return *text_; }
  friend bool operator==(const SharedBody& a, const SharedBody& b) {
    return *a.text_ == *b.text_;
  }

 private:
  std::shared_ptr<const std::string> text_;
};

}  // namespace mulberryroad::serving

#endif  // MULBERRYROAD_SRC_SERVING_SHARED_BODY_H_
