// Reporter of crashes for tests: keeps the contents that were reported.

#ifndef MULBERRYROAD_TEST_FAKES_FAKE_CRASH_REPORTER_H_
#define MULBERRYROAD_TEST_FAKES_FAKE_CRASH_REPORTER_H_

#include <string>
#include <vector>

#include "serving/crash_evidence.h"
#include "serving/crash_reporter.h"

namespace mulberryroad::fakes {

class FakeCrashReporter final : public serving::CrashReporter {
 public:
  explicit FakeCrashReporter(serving::CrashEvidence& evidence)
      : evidence_(evidence) {}

  void Report(const std::string& content,
              const RequestId& /*request*/) override {
    reported.push_back(content);
  }
  void Withdraw(const std::string& content) override {
    evidence_.OnAnswered(content);
  }

  std::vector<std::string> reported;

 private:
  serving::CrashEvidence& evidence_;
};

}  // namespace mulberryroad::fakes

#endif  // MULBERRYROAD_TEST_FAKES_FAKE_CRASH_REPORTER_H_
