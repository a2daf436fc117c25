#include "fakes/platform/duty_book.h"

namespace mulberryroad::fakes {

bool DutyBook::Admit(const std::string& subject, const DutyCall& call) {
  DutyCall& newest = newest_[subject];
  if (call.fence < newest.fence) {
    return false;
  }
  if (call.fence == newest.fence && !newest.holder.empty() &&
      call.holder != newest.holder) {
    violations_.push_back("two holders of " + subject + " with fencing token " +
                          std::to_string(call.fence) + ": " + newest.holder +
                          " and " + call.holder);
  }
  newest = call;
  return true;
}

void DutyBook::Report(std::int64_t window, const std::string& counts) {
  const auto [entry, added] = windows_.try_emplace(window, counts);
  if (!added && entry->second != counts) {
    violations_.push_back("window " + std::to_string(window) +
                          " was reported as " + entry->second + " and as " +
                          counts);
  }
}

}  // namespace mulberryroad::fakes
