#include "log/log_journal.h"

#include <criterion/criterion.h>

#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include "fakes/loop_wait.h"
#include "fakes/memory_log.h"

namespace mulberryroad::log {
namespace {

using fakes::MemoryLog;
using std::chrono::milliseconds;
using Fault = MemoryLog::Fault;

constexpr char kStream[] = "lease";

v1::Record Named(const std::string& name) {
  v1::Record record;
  record.mutable_lease_release()->set_role(name);
  return record;
}

std::string Foreign(const std::string& name) {
  v1::Record record = Named(name);
  record.set_writer("other#1");
  record.set_sequence(std::hash<std::string>()(name));
  return record.SerializeAsString();
}

struct Fixture {
  base::EventLoop loop;
  SystemClock clock;
  MemoryLog log{loop};
  LogJournal journal{loop, clock, log, NodeId("a"), 1};

  OnRecord Into(std::string* seen) {
    return [seen](platform::Offset, const v1::Record& record) {
      *seen += record.has_snapshot() ? "S" : record.lease_release().role();
    };
  }
  bool Until(const std::function<bool()>& condition) {
    return fakes::RunUntil(loop, condition);
  }
};

Test(log_journal, settles_appends_by_reading_them_back) {
  struct Case {
    const char* name;
    std::vector<Fault> faults;
    std::uint64_t records_in_log;
  };
  const Case cases[] = {
      {"no fault", {}, 1},
      {"refused twice", {Fault::kRefuse, Fault::kRefuse}, 1},
      {"lost before the effect", {Fault::kLoseBefore}, 1},
      {"lost after the effect", {Fault::kLoseAfter}, 1},
      {"lost before, then after", {Fault::kLoseBefore, Fault::kLoseAfter}, 1},
  };
  for (const Case& c : cases) {
    Fixture f;
    std::string seen;
    f.journal.Subscribe(kStream, f.Into(&seen));
    f.log.FailNextAppends(c.faults);
    std::optional<platform::Offset> offset;
    std::string seen_at_callback;
    f.journal.Append(
        kStream, Named("x"), milliseconds(8'000),
        [&](std::optional<platform::Offset> at, const std::string&) {
          offset = at;
          seen_at_callback = seen;
        });
    cr_expect(f.Until([&] { return offset.has_value(); }),
              "%s: the append was not settled", c.name);
    cr_expect(offset == 0, "%s: expected offset 0", c.name);
    cr_expect(seen_at_callback == "x",
              "%s: subscribers must have the record first", c.name);
    cr_expect(f.log.end(kStream) == c.records_in_log,
              "%s: expected %d records, found %d", c.name,
              static_cast<int>(c.records_in_log),
              static_cast<int>(f.log.end(kStream)));
  }
}

Test(log_journal, drops_the_repeat_of_its_own_record) {
  Fixture f;
  std::string seen;
  f.journal.Subscribe(kStream, f.Into(&seen));
  f.log.SetDelay(milliseconds(20));
  std::optional<platform::Offset> offset;
  f.journal.Append(kStream, Named("x"), milliseconds(5'000),
                   [&](std::optional<platform::Offset> at, const std::string&) {
                     offset = at;
                   });
  cr_assert(f.Until([&] { return offset.has_value(); }));
  v1::Record repeat = Named("x");
  repeat.set_writer("a#1");
  repeat.set_sequence(0);
  f.log.Put(kStream, repeat.SerializeAsString());
  f.log.Put(kStream, Foreign("y"));
  cr_expect(f.Until([&] { return seen == "xy"; }), "found %s", seen.c_str());
}

Test(log_journal, gives_up_with_the_last_reason) {
  Fixture f;
  std::string seen;
  f.journal.Subscribe(kStream, f.Into(&seen));
  f.log.SetDown(true);
  std::string reason;
  bool settled = false;
  f.journal.Append(
      kStream, Named("x"), milliseconds(300),
      [&](std::optional<platform::Offset> at, const std::string& why) {
        settled = !at.has_value();
        reason = why;
      });
  cr_expect(f.Until([&] { return settled; }));
  cr_expect(reason == "the log service is down", "found %s", reason.c_str());
}

Test(log_journal, refuses_appends_to_streams_that_it_does_not_read) {
  Fixture f;
  bool refused = false;
  f.journal.Append(kStream, Named("x"), milliseconds(300),
                   [&](std::optional<platform::Offset> at, const std::string&) {
                     refused = !at.has_value();
                   });
  cr_expect(!refused, "never inside Append");
  cr_expect(f.Until([&] { return refused; }));
}

Test(log_journal, reads_on_after_an_outage) {
  Fixture f;
  std::string seen;
  f.journal.Subscribe(kStream, f.Into(&seen));
  f.log.Put(kStream, Foreign("x"));
  cr_assert(f.Until([&] { return seen == "x"; }));
  f.log.SetDown(true);
  f.log.Put(kStream, Foreign("y"));
  fakes::RunFor(f.loop, milliseconds(300));
  cr_expect(seen == "x", "nothing comes through while the log is down");
  cr_expect(f.journal.silence() >= milliseconds(250));
  f.log.SetDown(false);
  cr_expect(f.Until([&] { return seen == "xy"; }));
  cr_expect(f.journal.silence() < milliseconds(250));
}

Test(log_journal, a_late_subscriber_gets_everything_once) {
  Fixture f;
  std::string first;
  std::string late;
  f.journal.Subscribe(kStream, f.Into(&first));
  f.log.Put(kStream, Foreign("x"));
  f.log.Put(kStream, Foreign("y"));
  cr_assert(f.Until([&] { return first == "xy"; }));
  f.journal.Subscribe(kStream, f.Into(&late));
  cr_assert(f.Until([&] { return late == "xy"; }), "found %s", late.c_str());
  f.log.Put(kStream, Foreign("z"));
  cr_expect(f.Until([&] { return first == "xyz" && late == "xyz"; }),
            "found %s and %s", first.c_str(), late.c_str());
}

Test(log_journal, a_gap_is_visible_and_never_an_empty_state) {
  Fixture f;
  std::string seen;
  for (const char* name : {"u", "v", "w"}) {
    f.log.Put(kStream, Foreign(name));
  }
  f.log.Retain(kStream, 2);
  f.journal.Subscribe(kStream, f.Into(&seen));
  cr_expect(f.Until([&] { return f.journal.gap(kStream).has_value(); }));
  cr_expect(!f.journal.caught_up(kStream));
  cr_expect(seen.empty(), "found %s", seen.c_str());
  v1::Record snapshot;
  snapshot.set_writer("compactor#1");
  snapshot.mutable_snapshot()->set_covered_offset(1);
  f.log.Put(kStream, snapshot.SerializeAsString());
  cr_expect(f.Until([&] { return f.journal.caught_up(kStream); }));
  cr_expect(seen == "SwS", "found %s", seen.c_str());
}

Test(log_journal, unsubscribing_ends_open_appends) {
  Fixture f;
  std::string seen;
  f.journal.Subscribe(kStream, f.Into(&seen));
  f.log.SetDown(true);
  bool ended = false;
  f.journal.Append(kStream, Named("x"), milliseconds(60'000),
                   [&](std::optional<platform::Offset> at, const std::string&) {
                     ended = !at.has_value();
                   });
  f.journal.Unsubscribe(kStream);
  cr_expect(ended);
}

}  // namespace
}  // namespace mulberryroad::log
