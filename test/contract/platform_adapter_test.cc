// Platform adapter: decoding of JSON bodies, headers, store pages and settings.

#include <criterion/criterion.h>

#include <array>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "batches/batch_table.h"
#include "platform/batch_codec.h"
#include "platform/headers.h"
#include "platform/json.h"
#include "platform/manifest_codec.h"
#include "platform/settings_codec.h"
#include "platform/store_client.h"
#include "platform/upstream_client.h"

namespace mulberryroad::platform_adapter {
namespace {

using std::chrono::milliseconds;

constexpr char kManifest[] = R"({"version":7,"routes":[
  {"name":"r1","host":"h","pathPrefix":"/a/","kind":"idempotent","timeoutMs":2000,"targetLatencyMs":150,
   "trafficSplit":[{"service":"s1","weight":90},{"service":"s2","weight":10}],"maxAttempts":2},
  {"name":"r2","host":"h","pathPrefix":"/b/","kind":"rollout","service":"s1","maxAttempts":3,
   "retentionS":40.0,"resultDeadlineMs":7500,"singleVersion":true,"resumable":true},
  {"name":"r3","host":"h","pathPrefix":"/c/","kind":"something new","service":"s1","authExempt":true}],
 "services":[{"name":"s1","engine":{"models":[{"name":"m"}]},
   "scaling":{"min":1,"max":8,"zonePrices":{"z1":1.0,"z2":0.8}}}],
 "limits":{"maxBodyBytes":1000,"idleTimeoutMs":15000},
 "tenants":[{"name":"org","apiKeys":["k1","k2"]}]})";

Test(manifest_codec, manifest_is_decoded) {
  const auto manifest = DecodeManifest(kManifest);
  cr_assert(manifest.has_value());
  cr_assert_eq(manifest->version, 7);
  const serving::Route& idempotent = manifest->routes[0];
  cr_assert(idempotent.kind == serving::RouteKind::kIdempotent);
  cr_assert_eq(idempotent.services.size(), 2);
  cr_assert(idempotent.target_latency == milliseconds(150));
  const serving::Route& batch = manifest->routes[1];
  cr_assert(batch.kind == serving::RouteKind::kBatch);
  cr_assert(batch.retention == milliseconds(40'000));
  cr_assert(batch.result_deadline == milliseconds(7'500));
  cr_assert(batch.single_version && batch.resumable && !batch.open);
  const serving::Route& unknown = manifest->routes[2];
  cr_assert(unknown.kind == serving::RouteKind::kNonIdempotent,
            "an unknown kind is the most restrictive one");
  cr_assert(unknown.open);
  cr_assert_eq(manifest->services[0].scaling->max, 8);
  cr_assert_eq(manifest->limits.max_body_bytes, 1000);
  cr_assert_eq(manifest->organisations->front().keys.size(), 2);
}

// A faulty priority must not come before a valid one.
Test(manifest_codec, invalid_priorities_are_the_lowest) {
  const auto manifest = DecodeManifest(R"({"version":1,
      "routes":[{"priority":0},{"priority":-1},{"priority":"0"},{}],
      "tenants":[{"name":"a","priority":2},{"name":"b","priority":null}]})");
  cr_assert(manifest.has_value());
  cr_expect(manifest->uses_priorities);
  cr_expect(manifest->routes[0].priority == 0U);
  for (std::size_t i = 1; i < 4; ++i) {
    cr_expect(!manifest->routes[i].priority.has_value());
  }
  cr_expect((*manifest->organisations)[0].priority == 2U);
  cr_expect(!(*manifest->organisations)[1].priority.has_value());
  cr_expect(!DecodeManifest(R"({"version":1,"routes":[{}]})")->uses_priorities);
}

Test(manifest_codec, malformed_manifests_are_rejected) {
  cr_assert(!DecodeManifest("").has_value());
  cr_assert(!DecodeManifest("{\"version\":").has_value());
  cr_assert(!DecodeManifest(R"({"version":"7"})").has_value());
  cr_assert(!DecodeManifest(R"([1,2])").has_value());
  cr_assert(!DecodeManifest(R"({"version":1})")->organisations.has_value());
}

constexpr char kRegistration[] =
    R"({"service":"s","addr":"10.1.0.9:8080","zone":"z","version":"v1","slots":12,"state":"ready",
        "models":[{"name":"m","version":3}],"seq":4,"born":1700000000123})";

std::string Replaced(std::string text, const std::string& from,
                     const std::string& to) {
  return text.replace(text.find(from), from.size(), to);
}

Test(registration_codec, registration_is_decoded) {
  const auto entry = DecodeRegistration("i-1", kRegistration);
  cr_assert(entry.has_value());
  cr_assert_eq(entry->slots, 12);
  cr_assert_eq(entry->versions.at(TargetId("m")), 3);
  cr_assert_eq(entry->started.count(), 1700000000123);
  cr_assert(!entry->draining);
  cr_assert(
      DecodeRegistration("i-1", Replaced(kRegistration, "ready", "draining"))
          ->draining);
}

Test(registration_codec, malformed_registrations_are_rejected) {
  const std::string entry = kRegistration;
  cr_assert(!DecodeRegistration("i", "\xff\xfe").has_value());
  cr_assert(!DecodeRegistration("i", "{}").has_value());
  cr_assert(!DecodeRegistration("", entry).has_value());
  cr_assert(!DecodeRegistration("i", Replaced(entry, "\"ready\"", "\"new\"")));
  cr_assert(!DecodeRegistration("i", Replaced(entry, "12", "\"12\"")));
  cr_assert(!DecodeRegistration("i", Replaced(entry, "10.1.0.9:8080", "x")));
  cr_assert(!DecodeRegistration("i", Replaced(entry, "\"s\"", "5")));
}

// Guards against entries of other writers that are taken for upstreams with
// wrapped numbers, or that end the node.
Test(registration_codec, odd_entry_names_an_upstream) {
  const std::string entry = kRegistration;
  const std::string slots = "\"slots\":12";
  const std::string born = "1700000000123";
  const std::vector<std::pair<const char*, std::string>> odd = {
      {"slots that wrap to 0", Replaced(entry, slots, "\"slots\":4294967296")},
      {"too many slots", Replaced(entry, slots, "\"slots\":4000000000")},
      {"negative slots", Replaced(entry, slots, "\"slots\":-1")},
      {"fractional slots", Replaced(entry, slots, "\"slots\":1.5")},
      {"infinite slots", Replaced(entry, slots, "\"slots\":1e999")},
      {"start that wraps", Replaced(entry, born, "18446744073709551615")},
      {"start too late", Replaced(entry, born, "9200000000000000000")},
      {"start as text", Replaced(entry, born, "\"1700000000123\"")},
      {"port out of range", Replaced(entry, ":8080", ":70000")},
      {"nested slots", Replaced(entry, slots,
                                "\"slots\":" + std::string(100'000, '[') +
                                    std::string(100'000, ']'))},
      {"unclosed lists",
       Replaced(entry, slots, "\"slots\":" + std::string(100'000, '['))},
  };
  for (const auto& [name, text] : odd) {
    cr_expect(text != entry, "%s: the entry was not changed", name);
    cr_expect(!DecodeRegistration("i", text).has_value(), "%s", name);
  }
  for (const char* id : {"a b", "a\r\nX: y", "\x01", "\xff"}) {
    cr_expect(!DecodeRegistration(id, entry).has_value(), "id %s", id);
  }
  nlohmann::json other = nlohmann::json::parse(entry);
  other["models"] = 5;
  cr_expect(!DecodeRegistration("i", other.dump()).has_value());
  other["models"] = {{{"name", "m"}, {"version", 18446744073709551615ULL}}};
  cr_expect(!DecodeRegistration("i", other.dump()).has_value());
  other.erase("models");
  cr_expect(DecodeRegistration("i", other.dump()).has_value());
  other["version"] = 2;
  cr_expect(!DecodeRegistration("i", other.dump()).has_value());
}

// Guards against a bad cold time that hides an upstream or passes as none.
Test(registration_codec, cold_time_is_decoded) {
  const std::string entry = kRegistration;
  const auto left_of = [&entry](const std::string& value) {
    return DecodeRegistration(
               "i", Replaced(entry, "\"seq\":4", "\"coldLeftMs\":" + value))
        ->cold_left;
  };
  cr_expect(!DecodeRegistration("i", entry)->cold_left.has_value());
  cr_expect(left_of("2500") == milliseconds(2'500));
  cr_expect(left_of("0") == milliseconds(0));
  // ColdUpstreams logs and clamps these.
  for (const char* value : {"-5", "-1e300"}) {
    cr_expect(left_of(value) == milliseconds(-1), "%s", value);
  }
  cr_expect_gt(left_of("1e300")->count(), 60'000);
  // A field of another type comes from another writer.
  for (const char* value : {"\"soon\"", "null", "{}"}) {
    cr_expect(!DecodeRegistration(
                   "i", Replaced(entry, "\"seq\":4",
                                 std::string("\"coldLeftMs\":") + value))
                   .has_value(),
              "%s", value);
  }
}

Test(manifest_codec, cold_start_is_decoded) {
  const auto cold_of = [](const std::string& fields) {
    return DecodeManifest(R"({"version":1,"services":[{"name":"s")" + fields +
                          "}]}")
        ->services.front()
        .cold_start;
  };
  cr_expect(cold_of("").after_start == milliseconds(0));
  cr_expect_eq(cold_of("").requests_per_second, 0);
  const auto cold = cold_of(R"(,"coldS":3.0,"coldPerS":8.2)");
  cr_expect(cold.after_start == milliseconds(3'000));
  cr_expect_eq(cold.requests_per_second, 8.2);
  const auto bad = cold_of(R"(,"coldS":"3","coldPerS":-1e99)");
  cr_expect(bad.after_start == milliseconds(-1'000));
  cr_expect_eq(bad.requests_per_second, -1);
  cr_expect_gt(cold_of(R"(,"coldS":1e300)").after_start.count(), 60'000);
}

Test(store_framing, encoded_records_decode_to_the_same_records) {
  std::string body(16, '\0');
  body[7] = 9;
  body[15] = 4;
  body += EncodeRecords({{"k", "value"}, {"dropped", std::nullopt}});
  const auto page = DecodePage(body, 7);
  cr_assert(page.has_value());
  cr_assert_eq(page->end, 9);
  cr_assert_eq(page->first_retained, 4);
  cr_assert_eq(page->next, 9);
  cr_assert_eq(page->records.size(), 2);
  cr_assert_str_eq(page->records[0].value->c_str(), "value");
  cr_assert_eq(page->records[1].offset, 8);
  cr_assert(!page->records[1].value.has_value());
}

Test(store_framing, truncated_pages_are_rejected) {
  std::string body(16, '\0');
  body += EncodeRecords({{"k", "value"}});
  for (std::size_t size = 0; size < body.size(); ++size) {
    const auto page = DecodePage(body.substr(0, size), 0);
    cr_assert(!page.has_value() || (size == 16 && page->records.empty()),
              "a page of %zu bytes was accepted", size);
  }
}

Test(base64, padded_text_is_decoded_and_malformed_text_is_rejected) {
  cr_assert(DecodeBase64("YQ==") == "a");
  cr_assert(DecodeBase64("YWI=") == "ab");
  cr_assert(DecodeBase64("YWJj") == "abc");
  cr_assert(DecodeBase64("")->empty());
  cr_assert(!DecodeBase64("YWJ").has_value());
  cr_assert(!DecodeBase64("Y!Jj").has_value());
}

http::Response MakeResponse(int status,
                            std::map<std::string, std::string> headers) {
  return {status, std::move(headers), "body"};
}

Test(classify, only_signed_response_to_this_request_is_complete) {
  const RequestId id("r1");
  const auto complete = ClassifyResponse(
      id, MakeResponse(200, {{"request-id", "r1"}, {"server-seal", "x"}}));
  cr_assert(std::holds_alternative<serving::CompleteResponse>(complete));
  cr_assert(std::holds_alternative<serving::MayHaveRun>(
      ClassifyResponse(id, MakeResponse(200, {{"request-id", "r1"}}))));
  cr_assert(std::holds_alternative<serving::MayHaveRun>(ClassifyResponse(
      id, MakeResponse(200, {{"request-id", "r2"}, {"server-seal", "x"}}))));
  cr_assert(std::holds_alternative<serving::MayHaveRun>(
      ClassifyResponse(id, MakeResponse(200, {{"server-seal", "x"}}))));
}

Test(classify, only_explicit_refusals_are_not_run) {
  const RequestId id("r1");
  const auto full =
      ClassifyResponse(id, MakeResponse(503, {{"not-executed", "1"}}));
  cr_assert(std::get<serving::NotRun>(full).full);
  const auto misdirected = ClassifyResponse(id, MakeResponse(421, {}));
  cr_assert(!std::get<serving::NotRun>(misdirected).full);
  cr_assert(std::holds_alternative<serving::MayHaveRun>(ClassifyResponse(
      id, MakeResponse(503, {{"request-id", "r1"}, {"server-seal", "x"}}))));
  cr_assert(std::holds_alternative<serving::CompleteResponse>(ClassifyResponse(
      id, MakeResponse(500, {{"request-id", "r1"}, {"server-seal", "x"}}))));
  cr_assert(std::holds_alternative<serving::MayHaveRun>(ClassifyResponse(
      id, MakeResponse(503, {{"request-id", "r0"}, {"not-executed", "1"}}))));
}

Test(headers, caller_cannot_override_service_headers) {
  http::Request request;
  request.target = "/a/x?q=1";
  request.headers = {{"host", "h:80"},          {"request-id", "r1"},
                     {"credential", "secret"},  {"tenant", "other"},
                     {"expect-instance", "i9"}, {"connection", "close"},
                     {"x-kept", "yes"},         {"deadline-ms", "900"}};
  const CallerHeaders headers = ReadCallerHeaders(request);
  cr_assert_str_eq(headers.host.c_str(), "h");
  cr_assert_str_eq(headers.key.c_str(), "secret");
  cr_assert(headers.deadline == milliseconds(900));
  const serving::OutgoingRequest outgoing =
      MakeOutgoingRequest(request, headers, OrganisationId("org"));
  cr_assert_eq(outgoing.headers.size(), 1);
  cr_assert_str_eq(outgoing.headers[0].name.c_str(), "x-kept");
  cr_assert_str_eq(outgoing.organisation.value().c_str(), "org");
}

// Returns the reason for which a submission is malformed; empty if it is not.
std::string DecodingError(const std::string& body) {
  const auto decoded = DecodeSubmission(body);
  const auto* malformed = std::get_if<MalformedSubmission>(&decoded);
  return malformed == nullptr ? "" : malformed->reason;
}

Test(batch_codec, malformed_submission_names_item_and_field) {
  const std::string body =
      R"({"step":7,"model":"m","minVersion":6,"desired":12,"items":[
          {"id":"i1","path":"/a/1","headers":{"Length-Hint":"55"},"body":"YWJj",
           "tokens":940,"group":"g","scorerUrl":
           {"id":"s1","host":"h","path":"/s/1","body":"ZGVm"}}]})";
  const auto decoded = DecodeSubmission(body);
  cr_assert(std::holds_alternative<Submission>(decoded));
  const auto& submission = std::get<Submission>(decoded);
  const v1::BatchItem& item = submission.items[0];
  cr_assert_eq(submission.min_version, 6);
  cr_assert_eq(submission.desired_groups, 12);
  cr_assert_str_eq(item.body().c_str(), "abc");
  cr_assert_eq(ReadItemHeaders(item).expected_tokens, 55);
  cr_assert_str_eq(item.scorer().id().c_str(), "s1");
  cr_assert_str_eq(item.scorer().host().c_str(), "h");
  cr_assert_str_eq(item.scorer().path().c_str(), "/s/1");
  cr_assert_str_eq(item.scorer().body().c_str(), "def");
  const std::string prefix = "item 0 (id \"i1\"): field ";
  const std::vector<std::array<std::string, 3>> cases = {
      {"YWJj", "YW!", prefix + "\"body\" must be base64"},
      {"\"/a/1\"", "\"a\"", prefix + "\"path\" must be a path"},
      {"\"55\"", "55", prefix + "\"headers\" must have strings as values"},
      {"\"i1\"", "1",
       "item 0 (id \"\"): field \"id\" must be a non-empty string"},
      {"\"s1\"", "\"\"",
       prefix + "\"scorerUrl.id\" must be a non-empty string"},
      {"\"h\"", "7", prefix + "\"scorerUrl.host\" must be a non-empty string"},
      {"/s/1", "s/1", prefix + "\"scorerUrl.path\" must be a path"},
      {"ZGVm", "Z", prefix + "\"scorerUrl.body\" must be base64"},
      {R"({"id":"s1","host":"h","path":"/s/1","body":"ZGVm"})", "[]",
       prefix + "\"scorerUrl\" must be an object"},
  };
  for (const auto& [from, to, reason] : cases) {
    const std::string actual = DecodingError(Replaced(body, from, to));
    cr_expect_str_eq(actual.c_str(), reason.c_str(), "%s: found '%s'",
                     to.c_str(), actual.c_str());
  }
  cr_assert(!DecodingError(body.substr(0, 60)).empty());
  cr_assert(!DecodingError(R"({"items":[]})").empty());
}

// Guards against a hint that is no length: items are sorted by it, and compared
// with the longest one.
Test(batch_codec, length_hint_that_is_no_length_is_used) {
  for (const char* hint : {"nan", "-nan", "inf", "-inf", "-1", "1e400", "1e10",
                           "", " ", "12abc", "0x", "1,5"}) {
    v1::BatchItem item;
    v1::StoredHeader* header = item.add_headers();
    header->set_name("Length-Hint");
    header->set_value(hint);
    cr_expect_eq(ReadItemHeaders(item).expected_tokens, 0, "\"%s\"", hint);
  }
}

// Guards against submissions whose decoder takes many times their size.
Test(batch_codec, submission_exceeds_a_bound_of_its_decoder) {
  const auto with = [](const std::string& item) {
    return R"({"x":[{"y":[]}],"items":[{"id":"i0","path":"/","body":""},)" +
           item + R"(],"model":{"z":1}})";
  };
  const auto item = [](const std::string& fields) {
    return R"({"id":"i1","path":"/","body":"")" + fields + "}";
  };
  cr_expect(DecodingError(with(item(R"(,"z":[{"a":[1,"b"]}])"))).empty());
  std::string fields;
  for (std::size_t i = 0; i < kMaxItemValues; ++i) {
    fields += ",\"a\":1";
  }
  cr_expect(DecodingError(with(item(fields))).starts_with("item 1: more than"));
  const std::string open(kMaxSubmissionDepth, '[');
  const std::string close(kMaxSubmissionDepth, ']');
  const std::string nested = open + close;
  for (const std::string& body :
       {with(item(",\"a\":" + nested)), R"({"x":)" + nested + "}"}) {
    cr_expect(DecodingError(body).starts_with("values are nested"), "%s",
              DecodingError(body).c_str());
  }
  for (const char* body :
       {"", "[]", "7", "{}", R"({"items":{"a":{}}})", R"({"items":[7]})",
        R"({"items":[[]]})", R"({"items":[{"id":"i","path":"/","body":""}]} x)",
        R"({"items":[{"id":"i","path":"/","body":""}])"}) {
    cr_expect(!DecodingError(body).empty(), "%s", body);
  }
}

// Guards against records that depend on how a batch is encoded.
Test(batch_codec, record_builder_closes_chunks_at_the_limit) {
  constexpr std::size_t kMaxRecordBytes = 200;
  batches::RecordBuilder builder("b1", kMaxRecordBytes);
  std::vector<std::string> added;
  for (int i = 0; i < 50; ++i) {
    v1::BatchItem item;
    item.set_id("i" + std::to_string(i));
    item.set_body(std::string(static_cast<std::size_t>(i) * 7, 'x'));
    builder.Add(item);
    added.push_back(item.SerializeAsString());
  }
  const auto records = builder.Build({});
  v1::BatchRecord accepted;
  cr_assert(accepted.ParseFromString(*records[0].value));
  cr_expect_eq(accepted.items(), 50);
  cr_expect_eq(accepted.chunks() + 1, records.size());
  std::vector<std::string> read;
  for (std::size_t i = 1; i < records.size(); ++i) {
    v1::BatchChunk chunk;
    cr_assert(chunk.ParseFromString(*records[i].value));
    cr_expect(chunk.items_size() == 1 ||
              records[i].value->size() <= kMaxRecordBytes + 8);
    for (const v1::BatchItem& item : chunk.items()) {
      read.push_back(item.SerializeAsString());
    }
  }
  cr_expect(read == added);
}

// An item runs for the organisation that submitted it, regardless of the
// headers of the item.
// Guards against items that smuggle a request of their own to an upstream.
Test(batch_codec, text_of_an_item_becomes_a_request) {
  const nlohmann::json sound = {
      {"id", "i1"},
      {"path", "/a/1?b=%2f"},
      {"body", ""},
      {"headers", {{"Model", "m"}}},
      {"scorerUrl",
       {{"id", "s1"}, {"host", "h"}, {"path", "/s"}, {"body", ""}}}};
  const auto decode = [](const nlohmann::json& item) {
    return DecodeSubmission(nlohmann::json{
        {"items", {{{"id", "i0"}, {"path", "/"}, {"body", ""}}, item}}}
                                .dump());
  };
  cr_assert(std::holds_alternative<Submission>(decode(sound)));
  const std::vector<std::string> targets = {
      "/a HTTP/1.1\r\nTenant: other\r\n\r\nPOST /b",
      "/a b",
      "/a\tb",
      "/a\n",
      "/a#b",
      "/a%2",
      "/a%zz",
      "/\x7f",
      "/\xc3\xa4",
      "a",
      "",
      std::string("/a\0b", 4)};
  for (const std::string& target : targets) {
    nlohmann::json item = sound;
    item["path"] = target;
    const auto by_path = decode(item);
    const auto* refused = std::get_if<MalformedSubmission>(&by_path);
    cr_assert(refused != nullptr, "path %s", target.c_str());
    cr_expect(refused->reason.starts_with("item 1 (id \"i1\"): field \"path\""),
              "%s", refused->reason.c_str());
    item = sound;
    item["scorerUrl"]["path"] = target;
    cr_expect(std::holds_alternative<MalformedSubmission>(decode(item)),
              "scorer path %s", target.c_str());
  }
  const std::string line_end = "x\r\nTenant: other";
  for (const char* field :
       {"/id", "/headers/Model", "/scorerUrl/id", "/scorerUrl/host"}) {
    nlohmann::json item = sound;
    item[nlohmann::json::json_pointer(field)] = line_end;
    cr_expect(std::holds_alternative<MalformedSubmission>(decode(item)), "%s",
              field);
  }
  nlohmann::json item = sound;
  item["headers"] = {{line_end, "m"}};
  cr_expect(std::holds_alternative<MalformedSubmission>(decode(item)));
}

Test(batch_codec, item_cannot_override_service_headers) {
  const auto decoded = DecodeSubmission(
      R"({"items":[{"id":"i1","path":"/a/1","body":"","headers":{
          "Tenant":"other","Credential":"secret","Deadline-Ms":"9",
          "expect-instance":"i9","Request-Id":"r9","Model":"m"}}]})");
  cr_assert(std::holds_alternative<Submission>(decoded));
  const v1::BatchItem& item = std::get<Submission>(decoded).items[0];
  cr_assert(!item.has_scorer());
  cr_assert_eq(item.headers_size(), 1);
  cr_assert_str_eq(item.headers(0).name().c_str(), "Model");
}

Test(batch_codec, results_include_versions_and_next_position) {
  batches::ResultPage page;
  page.total = 40;
  v1::ResultRecord result;
  result.set_item("i1");
  result.set_state(v1::ITEM_STATE_COMPLETED);
  result.set_text("a\nb");
  result.add_versions(6);
  result.add_versions(7);
  page.results.push_back(result);
  result.set_score("seal");
  page.results.push_back(result);
  const auto body = ParseJson(EncodeResults(page, 12));
  cr_assert_eq(UnsignedField(body, "total").value_or(0), 40);
  cr_assert_eq(UnsignedField(body, "nextToken").value_or(0), 14);
  cr_assert(StringField(body["results"][0], "state") == "completed");
  cr_assert_eq(body["results"][0]["versions"].size(), 2);
  cr_assert(!StringField(body["results"][0], "score").has_value());
  cr_assert(StringField(body["results"][1], "score") == "seal");
}

constexpr char kSettings[] = R"(
node = "edge-1"
zone = "z1"
bootstrap = true
ip = "10.1.0.7"
internalPorts = [7660,7675]
[listen]
front = "10.1.0.7:8405"
readiness = "10.1.0.7:8406"
[bounds]
graceS = 8
leaseMs = 3000
[platform]
addr = "10.200.1.7:8408"
parts = 12
[cloud]
addr = "10.200.0.60:8408"
)";

Test(settings_codec, settings_are_decoded) {
  const auto decoded = DecodeSettings(kSettings);
  const auto* settings = std::get_if<node::Settings>(&decoded);
  cr_assert_not_null(settings);
  cr_assert(settings->first_start);
  cr_assert_eq(settings->partitions, 12);
  cr_assert(settings->grace_period == milliseconds(8'000));
  cr_assert_eq(settings->metrics_address->port, 7660);
}

Test(settings_codec, cold_bounds_are_decoded) {
  const auto decode = [](const std::string& bounds) {
    return DecodeSettings(
        Replaced(kSettings, "graceS = 8", "graceS = 8\n" + bounds));
  };
  const auto missing = std::get<node::Settings>(decode(""));
  cr_expect_eq(missing.cold_bound_factor, 1.5);
  cr_expect_eq(missing.cold_bound_requests, 5);
  const auto settings =
      std::get<node::Settings>(decode("coldOverage = 2\ncoldSlack = 3.5"));
  cr_expect_eq(settings.cold_bound_factor, 2);
  cr_expect_eq(settings.cold_bound_requests, 3.5);
  for (const char* bad : {"coldOverage = 0.5", "coldOverage = nan",
                          "coldSlack = -1", "coldSlack = \"5\""}) {
    cr_expect(std::holds_alternative<SettingsErrors>(decode(bad)), "%s", bad);
  }
}

Test(settings_codec, all_errors_are_reported) {
  std::string text = Replaced(kSettings, "zone = \"z1\"", "");
  text = Replaced(text, "graceS = 8", "graceS = \"soon\"");
  text = Replaced(text, "10.200.1.7:8408", "nowhere");
  const auto decoded = DecodeSettings(text);
  const auto* errors = std::get_if<SettingsErrors>(&decoded);
  cr_assert_not_null(errors);
  cr_assert_eq(errors->messages.size(), 3);
  cr_assert(std::holds_alternative<SettingsErrors>(DecodeSettings("a = [")));
}

}  // namespace
}  // namespace mulberryroad::platform_adapter
