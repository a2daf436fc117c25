// Replays recorded order traces against the order book. Each line names a time
// and one event; "expect" lists the steps that the book must ask for.

#include <criterion/criterion.h>
#include <google/protobuf/struct.pb.h>

#include <filesystem>
#include <fstream>
#include <map>
#include <string>
#include <vector>

#include "base/json.h"
#include "control/order_book.h"

namespace {

using namespace mulberryroad;           // NOLINT(google-build-using-namespace)
using namespace mulberryroad::control;  // NOLINT(google-build-using-namespace)
using Line = google::protobuf::Struct;
using std::chrono::milliseconds;

OrderAnswer AnswerNamed(const std::string& name) {
  static const std::map<std::string, OrderAnswer> answers = {
      {"done", OrderDone{"vm"}},
      {"refused", OrderRefused{"refused"}},
      {"not seen", OrderNotSeen{}},
      {"not run", OrderNoAnswer{Verdict::kNotRun, "no connection"}},
      {"lost", OrderNoAnswer{Verdict::kMayHaveRun, "lost"}},
  };
  return answers.at(name);
}

/// Several nodes' books over one stream.
class Replay {
 public:
  void Run(const std::string& place, const Line& line) {
    const auto& fields = line.fields();
    now_ =
        WallTime{} +
        milliseconds(1'000'000 + static_cast<std::int64_t>(Number(line, "at")));
    const std::string node = Text(line, "node");
    OrderBook& book =
        books_.try_emplace(node, RoleId("controller/regina")).first->second;
    if (fields.contains("gain")) {
      book.Gained(static_cast<std::uint64_t>(Number(line, "gain")));
    } else if (fields.contains("lose")) {
      book.Lost();
    } else if (fields.contains("intend")) {
      Intend(book, line);
    } else if (fields.contains("read")) {
      Read(book, line);
    } else if (fields.contains("answer")) {
      book.Answered(intents_[Text(line, "answer")].order_id(),
                    AnswerNamed(Text(line, "is")), now_);
    } else if (fields.contains("expect")) {
      Expect(place, book, line);
    } else {
      cr_assert_fail("%s: no known event", place.c_str());
    }
  }

 private:
  static double Number(const Line& line, const std::string& field) {
    const auto found = line.fields().find(field);
    return found == line.fields().end() ? 0 : found->second.number_value();
  }
  static std::string Text(const Line& line, const std::string& field) {
    const auto found = line.fields().find(field);
    return found == line.fields().end() ? "" : found->second.string_value();
  }

  void Intend(OrderBook& book, const Line& line) {
    v1::OrderIntent order;
    order.set_kind(v1::ORDER_START);
    const auto fencing = line.fields().find("checks_fencing");
    order.set_checks_fencing(fencing != line.fields().end() &&
                             fencing->second.bool_value());
    const auto intent = book.Intend(order, now_);
    cr_assert(intent.has_value(), "an intent needs a term");
    intents_[Text(line, "intend")] = *intent;
    names_[intent->order_id()] = Text(line, "intend");
  }

  void Read(OrderBook& book, const Line& line) {
    const std::string name = Text(line, "read");
    v1::Record record;
    if (line.fields().contains("outcome")) {
      record.mutable_order_outcome()->set_order_id(intents_[name].order_id());
      record.mutable_order_outcome()->set_done(Text(line, "outcome") == "done");
    } else {
      *record.mutable_order_intent() = intents_[name];
    }
    book.OnRecord(static_cast<platform::Offset>(Number(line, "offset")),
                  record);
  }

  void Expect(const std::string& place, OrderBook& book, const Line& line) {
    std::string expected;
    for (const auto& step : line.fields().at("expect").list_value().values()) {
      expected += step.string_value() + "; ";
    }
    std::string actual;
    for (const OrderStep& step : book.Next(now_)) {
      actual += std::visit([this](const auto& s) { return Name(s); }, step);
      actual += "; ";
    }
    cr_assert_eq(actual, expected, "%s: expected [%s], got [%s]", place.c_str(),
                 expected.c_str(), actual.c_str());
  }

  std::string Name(const SendOrder& step) {
    return "send " + names_[step.intent.order_id()];
  }
  std::string Name(const SettleOrder& step) {
    return "settle " + names_[step.intent.order_id()];
  }
  std::string Name(const RecordOutcome& step) {
    const v1::OrderOutcome& outcome = step.outcome;
    return names_[outcome.order_id()] + ": " +
           (outcome.done() ? "done" : outcome.reason());
  }

  WallTime now_{};
  std::map<std::string, OrderBook> books_;
  std::map<std::string, v1::OrderIntent> intents_;
  std::map<std::string, std::string> names_;
};

}  // namespace

Test(control_trace, every_trace_ends_as_stated) {
  std::size_t traces = 0;
  const std::filesystem::path folder(TEST_DATA_DIR "/traces/control");
  for (const auto& entry : std::filesystem::directory_iterator(folder)) {
    std::ifstream file(entry.path());
    Replay replay;
    std::string text;
    for (int number = 1; std::getline(file, text); ++number) {
      const std::string place =
          entry.path().filename().string() + ":" + std::to_string(number);
      Line line;
      std::string reason;
      cr_assert(base::FromJson(text, &line, &reason), "%s: %s", place.c_str(),
                reason.c_str());
      replay.Run(place, line);
    }
    ++traces;
  }
  cr_assert_geq(traces, 8, "expected 8 traces, got %zu", traces);
}
