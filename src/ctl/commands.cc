#include "ctl/commands.h"

#include <google/protobuf/text_format.h>

#include <fstream>
#include <sstream>
#include <variant>

#include "base/json.h"
#include "base/settings.h"
#include "config/check.h"
#include "config/diff.h"
#include "ctl/in_force.h"
#include "ctl/tables.h"
#include "mulberryroad/api.pb.h"
#include "mulberryroad/billing.pb.h"
#include "mulberryroad/config.pb.h"
#include "mulberryroad/decision.pb.h"

namespace mulberryroad::ctl {

namespace {

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;

std::optional<std::string> ReadFile(const std::string& path,
                                    std::ostream& err) {
  std::ifstream file(path);
  if (!file) {
    err << path << ": cannot be read\n";
    return std::nullopt;
  }
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

/// Reads and checks a declaration; prints every problem with file and line.
std::optional<v1::Declaration> ReadDeclaration(const std::string& path,
                                               std::string* text,
                                               std::ostream& err) {
  const std::optional<std::string> content = ReadFile(path, err);
  if (!content.has_value()) {
    return std::nullopt;
  }
  *text = *content;
  const config::CheckResult checked = config::Check(*content);
  if (const auto* declaration = std::get_if<v1::Declaration>(&checked)) {
    return *declaration;
  }
  for (const config::Problem& problem :
       std::get<std::vector<config::Problem>>(checked)) {
    err << path << ":" << problem.line << ":" << problem.column << ": "
        << problem.message << "\n";
    if (!problem.hint.empty()) {
      err << "    " << problem.hint << "\n";
    }
  }
  return std::nullopt;
}

ExitCode ReportUnanswered(const AdminAnswer& answer, std::ostream& err) {
  err << "no answer (" << ToString(answer.verdict) << "): " << answer.reason
      << "\n";
  return ExitCode::kUnreachable;
}

/// Fetches a message from the first reachable node.
template <typename Message>
std::optional<Message> Fetch(AdminClient& client, const std::string& path,
                             ExitCode* failure, std::ostream& err) {
  const AdminAnswer answer = client.Ask(http::Method::kGet, path);
  if (answer.status == 0) {
    *failure = ReportUnanswered(answer, err);
    return std::nullopt;
  }
  Message message;
  std::string reason;
  if (answer.status != kOk || !base::FromJson(answer.body, &message, &reason)) {
    err << "the node answered " << answer.status << ": " << answer.body << "\n";
    *failure = ExitCode::kRefused;
    return std::nullopt;
  }
  return message;
}

/// Fetches a message and prints it as JSON, or as text by a printer.
template <typename Message>
ExitCode FetchAndPrint(const Options& options, const std::string& path,
                       void (*print)(const Message&, std::ostream&),
                       std::ostream& out, std::ostream& err) {
  AdminClient client(options.admin, options.timeout);
  ExitCode failure = ExitCode::kOk;
  const auto message = Fetch<Message>(client, path, &failure, err);
  if (!message.has_value()) {
    return failure;
  }
  if (options.output == OutputFormat::kJson) {
    out << base::ToJson(*message) << "\n";
  } else {
    print(*message, out);
  }
  return ExitCode::kOk;
}

ExitCode Validate(const Options& /*options*/, const std::string& path,
                  std::ostream& out, std::ostream& err) {
  std::string text;
  if (!ReadDeclaration(path, &text, err).has_value()) {
    return ExitCode::kRefused;
  }
  out << path << ": valid\n";
  return ExitCode::kOk;
}

ExitCode Plan(const Options& options, const std::string& path,
              std::ostream& out, std::ostream& err) {
  std::string text;
  const auto wanted = ReadDeclaration(path, &text, err);
  if (!wanted.has_value()) {
    return ExitCode::kRefused;
  }
  AdminClient client(options.admin, options.timeout);
  ExitCode failure = ExitCode::kOk;
  const auto current =
      Fetch<v1::ConfigRevision>(client, "/admin/v1/declaration", &failure, err);
  if (!current.has_value()) {
    return failure;
  }
  const auto lines = config::Diff(current->declaration(), *wanted);
  PrintPlan(current->revision(), lines, options.output, out);
  return ExitCode::kOk;
}

std::optional<std::uint64_t> BaseRevision(const Options& options,
                                          AdminClient& client,
                                          ExitCode* failure,
                                          std::ostream& err) {
  if (options.base.has_value()) {
    return options.base;
  }
  const auto current =
      Fetch<v1::ConfigRevision>(client, "/admin/v1/declaration", failure, err);
  return current.has_value() ? std::optional(current->revision())
                             : std::nullopt;
}

ExitCode ReportApplied(const AdminAnswer& answer, v1::ApplyReply* reply,
                       std::ostream& err) {
  if (answer.status == 0) {
    err << "the outcome is known once a node answers: mulberryctl show tells "
           "the revision in force\n";
    return ReportUnanswered(answer, err);
  }
  std::string reason;
  const bool expected = answer.status == kOk || answer.status == kConflict;
  if (!expected || !base::FromJson(answer.body, reply, &reason)) {
    err << "the node answered " << answer.status << ": " << answer.body << "\n";
    return ExitCode::kRefused;
  }
  if (!reply->accepted()) {
    err << "refused: " << reply->reason() << "\n";
    return ExitCode::kRefused;
  }
  return ExitCode::kOk;
}

ExitCode Apply(const Options& options, const std::string& path,
               std::ostream& out, std::ostream& err) {
  std::string text;
  if (!ReadDeclaration(path, &text, err).has_value()) {
    return ExitCode::kRefused;
  }
  AdminClient client(options.admin, options.timeout);
  ExitCode failure = ExitCode::kOk;
  const auto base = BaseRevision(options, client, &failure, err);
  if (!base.has_value()) {
    return failure;
  }
  const std::string target =
      "/admin/v1/declaration?base=" + std::to_string(*base) +
      "&operator=" + options.operator_name;
  v1::ApplyReply reply;
  const ExitCode code =
      ReportApplied(client.Ask(http::Method::kPut, target, text), &reply, err);
  if (code != ExitCode::kOk) {
    return code;
  }
  if (options.output == OutputFormat::kJson) {
    out << base::ToJson(reply) << "\n";
  } else {
    out << "accepted: revision " << reply.revision() << " (base " << *base
        << ")\n";
  }
  if (!options.wait) {
    return ExitCode::kOk;
  }
  return WaitInForce(client, reply.revision(), options.timeout, out, err)
             ? ExitCode::kOk
             : ExitCode::kUnreachable;
}

void PrintDeclaration(const v1::ConfigRevision& revision, std::ostream& out) {
  out << "# revision " << revision.revision() << "\n";
  std::string text;
  google::protobuf::TextFormat::PrintToString(revision.declaration(), &text);
  out << text;
}

ExitCode Show(const Options& options, const std::string& /*argument*/,
              std::ostream& out, std::ostream& err) {
  return FetchAndPrint<v1::ConfigRevision>(options, "/admin/v1/declaration",
                                           PrintDeclaration, out, err);
}

ExitCode Status(const Options& options, const std::string& /*argument*/,
                std::ostream& out, std::ostream& err) {
  return FetchAndPrint<v1::NodeStatus>(options, "/admin/v1/status", PrintStatus,
                                       out, err);
}

ExitCode Usage(const Options& options, const std::string& /*argument*/,
               std::ostream& out, std::ostream& err) {
  return FetchAndPrint<v1::UsageAppend>(options, "/admin/v1/usage", PrintUsage,
                                        out, err);
}

/// Collects the decisions of all nodes about one request or batch.
ExitCode Explain(const Options& options, const std::string& id,
                 std::ostream& out, std::ostream& err) {
  AdminClient client(options.admin, options.timeout);
  v1::Explanation all;
  bool reached = false;
  for (const AdminAnswer& answer : client.AskAll("/admin/v1/explain/" + id)) {
    reached = reached || answer.status != 0;
    if (answer.status != kOk && answer.status != kNotFound) {
      err << "a node is missing from this answer: "
          << (answer.status == 0 ? answer.reason : answer.body) << "\n";
    }
    v1::Explanation one;
    if (answer.status == kOk && base::FromJson(answer.body, &one, nullptr)) {
      all.MergeFrom(one);
    }
  }
  if (!reached) {
    return ExitCode::kUnreachable;
  }
  if (all.decisions().empty()) {
    err << "no asked node keeps a decision about \"" << id
        << "\"; name all nodes in --admin, or search the decision logs\n";
    return ExitCode::kRefused;
  }
  PrintExplanation(&all, options.output, out);
  return ExitCode::kOk;
}

ExitCode Settings(const Options& /*options*/, const std::string& /*argument*/,
                  std::ostream& out, std::ostream& /*err*/) {
  out << base::SettingsReference(*v1::NodeSettings::descriptor());
  return ExitCode::kOk;
}

}  // namespace

const std::vector<Command>& Commands() {
  static const std::vector<Command> commands = {
      {"validate", "FILE", "Checks a declaration without asking any node.",
       "mulberryctl validate samples/armor.textproto", Validate},
      {"plan", "FILE",
       "Shows what an apply would change against the revision in force.",
       "mulberryctl --admin 10.0.0.1:8001 plan armor.textproto", Plan},
      {"apply", "FILE",
       "Makes a declaration the next revision; with --wait until every live "
       "node has it in force.",
       "mulberryctl --admin 10.0.0.1:8001 apply armor.textproto --wait", Apply},
      {"show", "", "Prints the declaration in force.",
       "mulberryctl show > current.textproto", Show},
      {"status", "",
       "Shows nodes, roles, pools and upstreams as a node sees "
       "them.",
       "mulberryctl status --output json", Status},
      {"usage", "", "Shows a node's usage counters of open windows.",
       "mulberryctl usage", Usage},
      {"explain", "ID",
       "Tells a request's or a batch's way from the decisions of the nodes "
       "named in --admin.",
       "mulberryctl --admin 10.0.0.1:8001,10.0.0.2:8001 explain req-7f3a",
       Explain},
      {"settings", "", "Prints the settings of mulberryd as a Markdown table.",
       "mulberryctl settings", Settings},
  };
  return commands;
}

std::string CommandHelp(const Command& command) {
  std::ostringstream text;
  text << "Usage: mulberryctl [options] " << command.name
       << (command.argument.empty() ? "" : " ") << command.argument << "\n\n"
       << command.summary << "\n\nExample:\n  " << command.example << "\n";
  return text.str();
}

}  // namespace mulberryroad::ctl
