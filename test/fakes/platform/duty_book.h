// What a stand-in of the platform saw of usage reports and orders: accepts or
// refuses them by their fencing tokens and notes what breaks a promise. Pure.

#ifndef MULBERRYROAD_TEST_FAKES_PLATFORM_DUTY_BOOK_H_
#define MULBERRYROAD_TEST_FAKES_PLATFORM_DUTY_BOOK_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace mulberryroad::fakes {

/// Who calls, and with which fencing token.
struct DutyCall {
  std::string holder;
  std::uint64_t fence = 0;
};

class DutyBook {
 public:
  /// Judges a call on a subject.
  /// @return false if a higher token was seen
  bool Admit(const std::string& subject, const DutyCall& call);
  /// Takes in a usage report that was admitted.
  /// @param counts the counts as one text
  void Report(std::int64_t window, const std::string& counts);

  /// Promises that were broken, in words.
  const std::vector<std::string>& violations() const { return violations_; }
  /// Accepted windows and their counts.
  const std::map<std::int64_t, std::string>& windows() const {
    return windows_;
  }

 private:
  std::map<std::string, DutyCall> newest_;
  std::map<std::int64_t, std::string> windows_;
  std::vector<std::string> violations_;
};

}  // namespace mulberryroad::fakes

#endif  // MULBERRYROAD_TEST_FAKES_PLATFORM_DUTY_BOOK_H_
