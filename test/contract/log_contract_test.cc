// Contract tests that every LogService must pass. They run against the
// in-memory log and against the HTTP adapter with a fake server.

#include <criterion/criterion.h>

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "fakes/fake_log.h"
#include "fakes/free_port.h"
#include "fakes/loop_wait.h"
#include "fakes/memory_log.h"
#include "log/log_journal.h"
#include "platform/http_log_service.h"

namespace mulberryroad::platform {
namespace {

using std::chrono::milliseconds;

constexpr char kStream[] = "lease";
constexpr milliseconds kTimeout{400};

enum class Fault { kNone, kOutage, kLoseBefore, kLoseAfter };

const char* FaultName(Fault fault) {
  switch (fault) {
    case Fault::kNone:
      return "no fault";
    case Fault::kOutage:
      return "outage";
    case Fault::kLoseBefore:
      return "lost before the append";
    case Fault::kLoseAfter:
      return "lost after the append";
  }
  return "?";
}

/// A log service with fault injection.
class LogFixture {
 public:
  virtual ~LogFixture() = default;
  virtual const char* name() const = 0;
  virtual LogService& service() = 0;
  /// Injects a fault into the next append. An outage lasts until the next call
  /// of this function.
  virtual void SetFault(Fault fault) = 0;
  /// Expires all records of the stream but the last ones.
  virtual void Retain(std::uint32_t last) = 0;
};

class MemoryLogFixture final : public LogFixture {
 public:
  explicit MemoryLogFixture(base::EventLoop& loop) : log_(loop) {}
  const char* name() const override { return "memory"; }
  LogService& service() override { return log_; }
  void SetFault(Fault fault) override {
    using MemoryFault = fakes::MemoryLog::Fault;
    log_.SetDown(fault == Fault::kOutage);
    if (fault == Fault::kLoseBefore) {
      log_.FailNextAppends({MemoryFault::kLoseBefore});
    } else if (fault == Fault::kLoseAfter) {
      log_.FailNextAppends({MemoryFault::kLoseAfter});
    }
  }
  void Retain(std::uint32_t last) override {
    log_.Retain(kStream, log_.end(kStream) - last);
  }

 private:
  fakes::MemoryLog log_;
};

class HttpLogFixture final : public LogFixture {
 public:
  explicit HttpLogFixture(base::EventLoop& loop)
      : endpoint_{"127.0.0.1", fakes::FreePort()},
        log_(loop, clock_),
        client_(loop),
        service_(loop, client_, endpoint_) {
    cr_assert(log_.Listen(endpoint_), "port %d is taken", endpoint_.port);
  }
  const char* name() const override { return "http"; }
  LogService& service() override { return service_; }
  void SetFault(Fault fault) override {
    v1::FakeFaults* faults = log_.control().mutable_faults();
    faults->set_outage(fault == Fault::kOutage);
    faults->set_lose_before(fault == Fault::kLoseBefore ? 1 : 0);
    faults->set_lose_after(fault == Fault::kLoseAfter ? 1 : 0);
  }
  void Retain(std::uint32_t last) override {
    log_.control().set_retention_records(last);
  }

 private:
  SystemClock clock_;
  Endpoint endpoint_;
  fakes::FakeLog log_;
  http::Client client_;
  HttpLogService service_;
};

using AppendResult = std::variant<LogPosition, PlatformFailure>;
using ReadResult = std::variant<LogPage, PlatformFailure>;

class ContractRun {
 public:
  explicit ContractRun(bool http) {
    if (http) {
      fixture = std::make_unique<HttpLogFixture>(loop);
    } else {
      fixture = std::make_unique<MemoryLogFixture>(loop);
    }
  }

  AppendResult Append(const std::string& record) {
    std::optional<AppendResult> result;
    fixture->service().Append(kStream, record, kTimeout,
                              [&](AppendResult answer) { result = answer; });
    cr_assert(!result.has_value(),
              "on_appended was called before Append returned");
    cr_assert(fakes::RunUntil(loop, [&] { return result.has_value(); }),
              "%s: Append did not complete", fixture->name());
    return *result;
  }
  ReadResult Read(const std::string& stream, Offset from, std::uint32_t max,
                  milliseconds wait) {
    std::optional<ReadResult> result;
    fixture->service().Read(stream, from, max, wait, [&](ReadResult answer) {
      result = std::move(answer);
    });
    cr_assert(fakes::RunUntil(loop, [&] { return result.has_value(); }),
              "%s: Read did not complete", fixture->name());
    return *result;
  }
  /// Returns "first_offset/next_offset records_from: records", or "failed".
  std::string FormatPage(const ReadResult& result) const {
    const auto* page = std::get_if<LogPage>(&result);
    if (page == nullptr) {
      return "failed";
    }
    std::string text = std::to_string(page->first_offset) + "/" +
                       std::to_string(page->next_offset);
    if (!page->records.empty()) {
      text += " " + std::to_string(page->records_from) + ":";
    }
    for (const std::string& record : page->records) {
      text += " " + record;
    }
    return text;
  }

  base::EventLoop loop;
  std::unique_ptr<LogFixture> fixture;
};

void ForEachImplementation(const std::function<void(bool http)>& check) {
  check(false);
  check(true);
}

Test(log_contract, reads_return_pages) {
  struct Case {
    const char* stream;
    Offset from;
    std::uint32_t max;
    const char* expected;
  };
  const Case cases[] = {
      {kStream, 0, 10, "0/3 0: a b c"}, {kStream, 1, 10, "0/3 1: b c"},
      {kStream, 0, 2, "0/3 0: a b"},    {kStream, 3, 10, "0/3"},
      {"config", 0, 10, "0/0"},
  };
  ForEachImplementation([&](bool http) {
    ContractRun run(http);
    Offset expected = 0;
    for (const char* record : {"a", "b", "c"}) {
      const AppendResult appended = run.Append(record);
      const auto* position = std::get_if<LogPosition>(&appended);
      cr_assert(position != nullptr && position->offset == expected,
                "%s: expected offset %d", run.fixture->name(),
                static_cast<int>(expected));
      ++expected;
    }
    for (const Case& c : cases) {
      const std::string found =
          run.FormatPage(run.Read(c.stream, c.from, c.max, milliseconds(0)));
      cr_expect(found == c.expected, "%s, from %d: expected %s, found %s",
                run.fixture->name(), static_cast<int>(c.from), c.expected,
                found.c_str());
    }
  });
}

Test(log_contract, expired_records_raise_the_first_offset) {
  ForEachImplementation([](bool http) {
    ContractRun run(http);
    for (const char* record : {"a", "b", "c", "d"}) {
      run.Append(record);
    }
    run.fixture->Retain(2);
    const std::string found =
        run.FormatPage(run.Read(kStream, 0, 10, milliseconds(0)));
    cr_expect(found == "2/4 2: c d", "%s: found %s", run.fixture->name(),
              found.c_str());
  });
}

Test(log_contract, read_waits_for_the_next_record) {
  ForEachImplementation([](bool http) {
    ContractRun run(http);
    std::optional<ReadResult> result;
    run.fixture->service().Read(
        kStream, 0, 10, milliseconds(5'000),
        [&](ReadResult answer) { result = std::move(answer); });
    fakes::RunFor(run.loop, milliseconds(50));
    cr_expect(!result.has_value(), "%s: Read completed without a record",
              run.fixture->name());
    run.Append("a");
    cr_assert(fakes::RunUntil(
        run.loop, [&] { return result.has_value(); }, milliseconds(2'000)));
    cr_expect(run.FormatPage(*result) == "0/1 0: a");
    const std::string found =
        run.FormatPage(run.Read(kStream, 1, 10, milliseconds(100)));
    cr_expect(found == "0/1", "%s: found %s", run.fixture->name(),
              found.c_str());
  });
}

Test(log_contract, append_faults) {
  struct Case {
    Fault fault;
    bool succeeds;
    const char* in_log;
  };
  const Case cases[] = {
      {Fault::kNone, true, "0/1 0: a"},
      {Fault::kOutage, false, "0/0"},
      {Fault::kLoseBefore, false, "0/0"},
      {Fault::kLoseAfter, false, "0/1 0: a"},
  };
  ForEachImplementation([&](bool http) {
    for (const Case& c : cases) {
      ContractRun run(http);
      run.fixture->SetFault(c.fault);
      const AppendResult appended = run.Append("a");
      const auto* failure = std::get_if<PlatformFailure>(&appended);
      cr_expect((failure == nullptr) == c.succeeds, "%s, %s",
                run.fixture->name(), FaultName(c.fault));
      const bool verdict_allowed =
          failure == nullptr || failure->verdict == Verdict::kMayHaveRun ||
          (failure->verdict == Verdict::kNotRun && c.fault == Fault::kOutage);
      cr_expect(verdict_allowed,
                "%s, %s: an append that may have run was reported as not run",
                run.fixture->name(), FaultName(c.fault));
      run.fixture->SetFault(Fault::kNone);
      const std::string found =
          run.FormatPage(run.Read(kStream, 0, 10, milliseconds(0)));
      cr_expect(found == c.in_log, "%s, %s: expected %s, found %s",
                run.fixture->name(), FaultName(c.fault), c.in_log,
                found.c_str());
    }
  });
}

Test(log_contract, read_fails_during_an_outage) {
  ForEachImplementation([](bool http) {
    ContractRun run(http);
    run.Append("a");
    run.fixture->SetFault(Fault::kOutage);
    const ReadResult page = run.Read(kStream, 0, 10, milliseconds(0));
    cr_expect(std::holds_alternative<PlatformFailure>(page), "%s",
              run.fixture->name());
  });
}

Test(log_contract, journal_delivers_one_record_despite_faults) {
  ForEachImplementation([](bool http) {
    for (const Fault fault : {Fault::kNone, Fault::kOutage, Fault::kLoseBefore,
                              Fault::kLoseAfter}) {
      ContractRun run(http);
      const SystemClock clock;
      log::LogJournal journal(run.loop, clock, run.fixture->service(),
                              NodeId("a"), 1);
      int delivered = 0;
      journal.Subscribe(kStream,
                        [&](Offset, const v1::Record&) { ++delivered; });
      run.fixture->SetFault(fault);
      bool settled = false;
      v1::Record record;
      record.mutable_lease_release()->set_role("r");
      journal.Append(kStream, record, milliseconds(8'000),
                     [&](std::optional<Offset> offset, const std::string&) {
                       settled = offset.has_value();
                     });
      fakes::RunFor(run.loop, milliseconds(100));
      if (fault == Fault::kOutage) {
        run.fixture->SetFault(Fault::kNone);
      }
      cr_expect(fakes::RunUntil(run.loop, [&] { return settled; }),
                "%s, %s: the append did not complete", run.fixture->name(),
                FaultName(fault));
      fakes::RunFor(run.loop, milliseconds(100));
      cr_expect(delivered == 1, "%s, %s: delivered %d times",
                run.fixture->name(), FaultName(fault), delivered);
    }
  });
}

}  // namespace
}  // namespace mulberryroad::platform
