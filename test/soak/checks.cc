#include "soak/checks.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "fakes/platform/fake_replica.h"

namespace mulberryroad::soak {

namespace {

using nlohmann::json;

constexpr int kOk = 200;
constexpr int kFirstFailure = 300;
constexpr int kPromises[] = {408, 421, 429, 503};
// Upstreams that one attempt may run on: the route's attempts.
constexpr std::size_t kMaxRuns = 2;

void CheckAttempt(const Attempt& attempt, const UpstreamNotes& notes,
                  Verdicts* verdicts) {
  const auto found = notes.runs.find(attempt.id);
  const std::size_t runs = found == notes.runs.end() ? 0 : found->second.size();
  if (attempt.status >= kOk && attempt.status < kFirstFailure) {
    verdicts->Check("whole answer", attempt.signed_answer && attempt.own_body,
                    attempt.id + " got an answer that is not its own");
    verdicts->Check("answered requests ran", runs > 0,
                    attempt.id + " was answered and never ran");
  }
  if (std::find(std::begin(kPromises), std::end(kPromises), attempt.status) !=
      std::end(kPromises)) {
    verdicts->Check("refusals are true", runs == 0,
                    attempt.id + " got " + std::to_string(attempt.status) +
                        " from " + attempt.node + " and ran");
  }
  const std::size_t allowed =
      attempt.kind == RequestKind::kNonIdempotent ? 1 : kMaxRuns;
  verdicts->Check("runs", runs <= allowed,
                  attempt.id + " ran " + std::to_string(runs) + " times");
  if (attempt.in_planned_stop) {
    verdicts->Check("planned stops cut nothing",
                    attempt.status != 0 ||
                        attempt.ended - attempt.sent < Traffic::kCalm / 100,
                    attempt.id + " was cut as " + attempt.node + " stopped");
  }
  for (std::size_t i = 0; i < runs; ++i) {
    const UpstreamNotes::Run& run = found->second[i];
    verdicts->Check("organisation", run.organisation == attempt.organisation,
                    attempt.id + " ran for \"" + run.organisation + "\"");
    verdicts->Check("no key at an upstream", !run.key_seen,
                    "an upstream got the key of " + attempt.id);
  }
}

// A score is the signature of a run of the item's own scorer call that started
// after the item's last event.
void CheckScore(const Step& step, const ReadItem& item,
                std::uint64_t last_event, const UpstreamNotes& notes,
                Verdicts* verdicts) {
  const auto call = step.scorer_calls.find(item.id);
  if (call == step.scorer_calls.end()) {
    verdicts->Check("no score without a scorer", item.score.empty(),
                    item.id + " has the score " + item.score);
    return;
  }
  verdicts->Check("score of the own call",
                  item.score.ends_with("." + call->second),
                  item.id + " has the score " + item.score);
  const auto runs = notes.runs.find(call->second);
  const auto made = notes.event_times.find({item.id, last_event});
  const bool after = runs != notes.runs.end() &&
                     made != notes.event_times.end() &&
                     std::any_of(runs->second.begin(), runs->second.end(),
                                 [&made](const UpstreamNotes::Run& run) {
                                   return run.at_ms >= made->second;
                                 });
  verdicts->Check("score after the text", after,
                  item.id + " was scored before its last event");
  if (runs == notes.runs.end()) {
    return;
  }
  for (const UpstreamNotes::Run& run : runs->second) {
    verdicts->Check("scorers see no organisation and no key",
                    run.organisation.empty() && !run.key_seen,
                    call->second + " ran for \"" + run.organisation + "\"");
  }
}

void CheckItem(const Step& step, const ReadItem& item,
               const UpstreamNotes& notes, Verdicts* verdicts) {
  const auto expected = step.events_by_item.find(item.id);
  verdicts->Check("items belong to their batch",
                  expected != step.events_by_item.end(),
                  step.id + " lists " + item.id);
  const bool unscorable = step.unscorable.contains(item.id);
  if (expected == step.events_by_item.end() || item.state != "completed") {
    verdicts->Check("no item is given up",
                    item.state == "completed" || unscorable,
                    item.id + " is listed as " + item.state);
    return;
  }
  verdicts->Check("items without a score are not completed", !unscorable,
                  item.id + " is listed as completed");
  CheckScore(step, item, expected->second, notes, verdicts);
  // All events of an item come from one software version.
  const std::string software =
      fakes::SoftwareOf(item.text.substr(0, item.text.find('\n')));
  std::string text;
  std::set<std::uint64_t> made_under;
  bool labelled = true;
  for (std::uint64_t event = 1; event <= expected->second; ++event) {
    text +=
        (event == 1 ? "" : "\n") + fakes::EventText(item.id, event, software);
    const auto made = notes.events.find({item.id, event});
    if (made == notes.events.end()) {
      labelled = false;
      continue;
    }
    labelled = labelled && std::any_of(made->second.begin(), made->second.end(),
                                       [&item](std::uint64_t version) {
                                         return item.versions.contains(version);
                                       });
    made_under.insert(made->second.begin(), made->second.end());
  }
  verdicts->Check("whole text", item.text == text,
                  item.id + " is listed with another text");
  labelled =
      labelled && std::includes(made_under.begin(), made_under.end(),
                                item.versions.begin(), item.versions.end());
  verdicts->Check("true versions", labelled,
                  item.id + " bears versions that did not make it");
  verdicts->Check(
      "fresh enough",
      item.versions.empty() || *item.versions.begin() >= step.min_version,
      item.id + " is older than its batch allows");
}

}  // namespace

void Verdicts::Check(const char* what, bool held,
                     const std::string& violation) {
  ++made[what];
  if (!held) {
    violations.push_back(std::string(what) + ": " + violation);
  }
}

void UpstreamNotes::Read(std::istream& log) {
  for (std::string line; std::getline(log, line);) {
    const json note = json::parse(line, nullptr, false);
    if (!note.is_object()) {
      continue;
    }
    if (note.contains("run")) {
      runs[note["run"]].push_back(
          {note.value("at_ms", std::int64_t{0}), note.value("organisation", ""),
           note.value("key_seen", false),
           note.value("resume_after", std::uint64_t{0})});
    } else if (note.contains("event")) {
      const std::pair<std::string, std::uint64_t> event = {
          note["event"], note.value("number", std::uint64_t{0})};
      events[event].insert(note.value("version", std::uint64_t{0}));
      const auto at_ms = note.value("at_ms", std::int64_t{0});
      const auto [first, added] = event_times.try_emplace(event, at_ms);
      first->second = std::min(first->second, at_ms);
    } else if (note.contains("order")) {
      orders.push_back({note["order"], note.value("holder", ""),
                        note.value("fence", std::uint64_t{0})});
    }
  }
}

void CheckRequests(const std::vector<Attempt>& attempts,
                   std::set<std::string> known, const UpstreamNotes& notes,
                   Verdicts* verdicts) {
  for (const Attempt& attempt : attempts) {
    known.insert(attempt.id);
    CheckAttempt(attempt, notes, verdicts);
  }
  for (const auto& [id, runs] : notes.runs) {
    if (!id.starts_with("step-")) {
      verdicts->Check("only what was sent runs", known.contains(id),
                      id + " ran and was never sent");
    }
  }
}

void CheckSteps(const std::vector<Step>& steps, const std::string& organisation,
                const UpstreamNotes& notes, bool calm, Verdicts* verdicts) {
  for (const Step& step : steps) {
    std::set<std::string> listed;
    const auto last_start =
        std::chrono::duration_cast<std::chrono::milliseconds>(
            (step.ended_at + kCancelTime).time_since_epoch());
    for (const ReadItem& item : step.results) {
      verdicts->Check("listed once", listed.insert(item.id).second,
                      step.id + " lists " + item.id + " twice");
      CheckItem(step, item, notes, verdicts);
    }
    for (const auto& [id, events] : step.events_by_item) {
      const auto runs = notes.runs.find(id);
      if (runs == notes.runs.end()) {
        continue;
      }
      verdicts->Check("refused batches do not run",
                      step.accepted || !step.refused_throughout,
                      id + " ran though its batch was refused throughout");
      for (const UpstreamNotes::Run& run : runs->second) {
        verdicts->Check("organisation", run.organisation == organisation,
                        id + " ran for \"" + run.organisation + "\"");
        if (calm && step.ended) {
          verdicts->Check("ended batches start nothing",
                          run.at_ms <= last_start.count(),
                          id + " started after its batch's end");
        }
        verdicts->Check("no key at an upstream", !run.key_seen,
                        "an upstream got the key of " + id);
      }
    }
  }
}

void CheckOrders(const UpstreamNotes& notes, Verdicts* verdicts) {
  std::map<std::pair<std::string, std::uint64_t>, std::string> holders;
  for (const UpstreamNotes::Order& order : notes.orders) {
    const auto [holder, added] =
        holders.try_emplace({order.upstream, order.fence}, order.holder);
    verdicts->Check("one holder a fencing token",
                    added || holder->second == order.holder,
                    order.upstream + " got orders from " + holder->second +
                        " and " + order.holder + " with one token");
  }
}

}  // namespace mulberryroad::soak
