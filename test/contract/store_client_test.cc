// Store client of the platform adapter, over HTTP against a fake platform.

#include "platform/store_client.h"

#include <criterion/criterion.h>

#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "fakes/free_port.h"
#include "fakes/loop_wait.h"
#include "fakes/platform/fake_platform.h"

namespace mulberryroad::platform_adapter {
namespace {

/// Sends each request directly to its endpoint.
class DirectSender final : public http::Sender {
 public:
  explicit DirectSender(http::Client& client) : client_(client) {}
  void Send(http::ClientRequest request,
            http::ResultCallback on_done) override {
    client_.Send(std::move(request), std::move(on_done));
  }

 private:
  http::Client& client_;
};

using platform::KeyedRecord;
using platform::PartitionId;
using std::chrono::milliseconds;

constexpr milliseconds kTimeout{500};

class StoreFixture {
 public:
  StoreFixture() { cr_assert(fake_.Listen(endpoint_)); }

  platform::AppendOutcome Append(const PartitionId& partition,
                                 const std::vector<KeyedRecord>& records,
                                 const platform::AppendCondition& condition) {
    return Wait<platform::AppendOutcome>([&](auto done) {
      store_.Append(partition, records, condition, kTimeout, done);
    });
  }
  platform::ReadOutcome Read(const PartitionId& partition,
                             platform::Offset from, milliseconds wait) {
    return Wait<platform::ReadOutcome>([&](auto done) {
      store_.Read(partition, from, wait, wait + kTimeout, done);
    });
  }
  platform::NewestOutcome Newest(const PartitionId& partition) {
    return Wait<platform::NewestOutcome>(
        [&](auto done) { store_.ReadLatest(partition, "", kTimeout, done); });
  }
  platform::GroupAssignment Join(const std::string& member,
                                 std::uint64_t generation) {
    return std::get<platform::GroupAssignment>(
        Wait<platform::JoinOutcome>([&](auto done) {
          store_.Join("g", member, "t", milliseconds(2'000), generation,
                      kTimeout, done);
        }));
  }
  platform::PartitionOwners Owners() {
    return std::get<platform::PartitionOwners>(Wait<platform::OwnersOutcome>(
        [&](auto done) { store_.ListOwners("g", kTimeout, done); }));
  }
  void Leave(const std::string& member) {
    store_.Leave("g", member, kTimeout);
    fakes::RunFor(loop_, milliseconds(50));
  }
  void SendControl(const std::string& change) {
    http::ClientRequest request;
    request.endpoint = endpoint_;
    request.method = http::Method::kPost;
    request.path = "/control";
    request.body = change;
    Wait<http::Result>(
        [&](auto done) { client_.Send(std::move(request), done); });
  }

 private:
  template <typename Outcome, typename Start>
  Outcome Wait(const Start& start) {
    std::optional<Outcome> result;
    start([&result](const Outcome& outcome) { result = outcome; });
    cr_assert(fakes::RunUntil(loop_, [&result] { return result.has_value(); }));
    return *std::move(result);
  }

  base::EventLoop loop_;
  Endpoint endpoint_{"127.0.0.1", fakes::FreePort()};
  fakes::FakePlatform fake_{loop_, 1};
  http::Client client_{loop_};
  DirectSender sender_{client_};
  StoreClient store_{sender_, endpoint_};
};

const PartitionId kPartition{"keyed.t", 0};

Test(store_client, records_are_read_in_order_and_latest_by_key) {
  StoreFixture store;
  const auto first = std::get<platform::Appended>(
      store.Append(kPartition, {{"k1", "a"}, {"k2", "b"}}, {}));
  cr_assert_eq(first.first, 0);
  cr_assert_eq(first.end, 2);
  store.Append(kPartition, {{"k1", "c"}, {"k2", std::nullopt}}, {});
  const auto page = std::get<platform::RecordPage>(
      store.Read(kPartition, 1, milliseconds(0)));
  cr_assert_eq(page.records.size(), 3);
  cr_assert_str_eq(page.records[0].value->c_str(), "b");
  cr_assert_eq(page.next, 4);
  const auto newest = std::get<platform::LatestPage>(store.Newest(kPartition));
  cr_assert_eq(newest.records.size(), 1);
  cr_assert_str_eq(newest.records[0].value->c_str(), "c");
  cr_assert_eq(newest.records[0].offset, 2);
}

Test(store_client, read_without_new_records_returns_empty_page) {
  StoreFixture store;
  const auto page = std::get<platform::RecordPage>(
      store.Read(kPartition, 0, milliseconds(80)));
  cr_assert(page.records.empty());
  cr_assert_eq(page.next, 0);
}

Test(store_client, conditional_append_succeeds_once) {
  StoreFixture store;
  cr_assert(std::holds_alternative<platform::Appended>(
      store.Append(kPartition, {{"k", "a"}}, platform::ExpectedEnd{0})));
  const auto moved = std::get<platform::EndMismatch>(
      store.Append(kPartition, {{"k", "b"}}, platform::ExpectedEnd{0}));
  cr_assert_eq(moved.end, 1);
}

Test(store_client, lower_epoch_is_fenced_and_duplicate_is_not_appended) {
  StoreFixture store;
  const platform::WriterFence writer{"w", 7, 1};
  store.Append(kPartition, {{"k", "a"}}, writer);
  const auto duplicate = std::get<platform::Appended>(
      store.Append(kPartition, {{"k", "a"}}, writer));
  cr_assert_eq(duplicate.end, 1);
  cr_assert(std::holds_alternative<platform::OutOfSequence>(store.Append(
      kPartition, {{"k", "b"}}, platform::WriterFence{"w", 7, 5})));
  store.Append(kPartition, {}, platform::WriterFence{"w", 8, 0});
  cr_assert(std::holds_alternative<platform::Fenced>(store.Append(
      kPartition, {{"k", "b"}}, platform::WriterFence{"w", 7, 2})));
}

Test(store_client, refusal_is_not_run_and_timeout_may_have_run) {
  StoreFixture store;
  store.SendControl(R"({"refuse_ms":300})");
  const auto refused = std::get<platform::PlatformFailure>(
      store.Append(kPartition, {{"k", "a"}}, {}));
  cr_assert(refused.verdict == Verdict::kNotRun);
  store.SendControl(R"({"heal":true,"silent_ms":2000})");
  const auto timed_out = std::get<platform::PlatformFailure>(
      store.Append(kPartition, {{"k", "a"}}, {}));
  cr_assert(timed_out.verdict == Verdict::kMayHaveRun);
}

Test(store_client, dropped_history_is_reported) {
  StoreFixture store;
  store.Append(kPartition, {{"k", "a"}}, {});
  store.SendControl(R"({"drop_history":true})");
  const auto lost = std::get<platform::OffsetExpired>(
      store.Read(kPartition, 0, milliseconds(0)));
  cr_assert_eq(lost.first_retained, 1);
  cr_assert_eq(
      std::get<platform::LatestPage>(store.Newest(kPartition)).records.size(),
      1);
}

Test(store_client, partitions_move_after_owner_sees_new_generation) {
  StoreFixture store;
  const auto initial = store.Join("a", 0);
  cr_assert_eq(initial.partitions.size(), fakes::LogStore::kPartitions);
  const auto second = store.Join("b", 0);
  cr_assert_gt(second.generation, initial.generation);
  cr_assert(second.partitions.empty(), "member a still owns them");
  const auto reduced = store.Join("a", initial.generation);
  cr_assert_eq(reduced.partitions.size(), 2);
  store.Join("a", reduced.generation);
  cr_assert_eq(store.Join("b", second.generation).partitions.size(), 2);
  store.Leave("a");
  cr_assert_eq(store.Join("b", second.generation).partitions.size(), 4);
  for (const auto& [partition, member] : store.Owners().owners) {
    cr_assert_str_eq(member.c_str(), "b");
  }
}

/// Answers each request with the same body.
class CannedSender final : public http::Sender {
 public:
  explicit CannedSender(std::string body) : body_(std::move(body)) {}
  void Send(http::ClientRequest /*request*/,
            http::ResultCallback on_done) override {
    on_done(http::Response{200, {}, body_});
  }

 private:
  std::string body_;
};

// Guards against a list that is never read again after one odd record.
Test(store_client, odd_record_hides_the_others) {
  CannedSender sender(
      R"({"endOffset":4,"hasMore":false,"items":[)"
      R"({"key":"a","value":"YQ==","offset":0},{"key":5,"value":"YQ=="},7,)"
      R"({"key":"b","value":null,"offset":2},)"
      R"({"key":"c","value":"Yw==","offset":3}]})");
  StoreClient store(sender, {"127.0.0.1", 1});
  std::optional<platform::NewestOutcome> outcome;
  store.ReadLatest({"keyed.servers", 0}, "", kTimeout,
                   [&outcome](platform::NewestOutcome o) { outcome = o; });
  cr_assert(outcome.has_value());
  const auto* page = std::get_if<platform::LatestPage>(&*outcome);
  cr_assert(page != nullptr);
  cr_assert_eq(page->skipped, 2);
  cr_assert_eq(page->records.size(), 3);
  cr_assert_str_eq(page->records[0].value->c_str(), "a");
  cr_assert_str_eq(page->records[1].value->c_str(), "");
  cr_assert_str_eq(page->records[2].value->c_str(), "c");
}

}  // namespace
}  // namespace mulberryroad::platform_adapter
