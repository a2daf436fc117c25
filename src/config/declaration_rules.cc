#include "config/declaration_rules.h"

#include <algorithm>
#include <cctype>
#include <cmath>
#include <map>
#include <set>
#include <string>
#include <utility>

namespace mulberryroad::config::internal {

namespace {

using google::protobuf::FieldDescriptor;
using google::protobuf::Message;
using google::protobuf::TextFormat;
using Tree = TextFormat::ParseInfoTree;

constexpr std::size_t kDigestLength = 64;
constexpr std::uint32_t kMaxPercent = 100;
constexpr std::uint32_t kMaxUpstreams = 100'000;
constexpr std::uint32_t kMinWindowSeconds = 10;
constexpr std::uint32_t kMaxWindowSeconds = 86'400;

/// One block of the declaration with its place in the text.
struct Block {
  const Message& message;
  const Tree* tree;

  const FieldDescriptor* field(const std::string& name) const {
    return message.GetDescriptor()->FindFieldByName(name);
  }
  Block nested(const std::string& name, int index) const {
    const FieldDescriptor* descriptor = field(name);
    const Message& inner =
        message.GetReflection()->GetRepeatedMessage(message, descriptor, index);
    const Tree* place =
        tree == nullptr ? nullptr : tree->GetTreeForNested(descriptor, index);
    return {inner, place};
  }
};

class Rules {
 public:
  Rules(const v1::Declaration& declaration, const Tree& tree)
      : declaration_(declaration), root_{declaration, &tree} {}

  std::vector<Problem> Run() {
    CheckFailureDomains();
    CheckOrganisations();
    CheckModels();
    CheckServices();
    CheckClasses();
    CheckPools();
    CheckRoutes();
    CheckBilling();
    return std::move(problems_);
  }

 private:
  /// Reports a problem at a field of a block, or at the block's place in its
  /// parent if the field is not set.
  void Report(const Block& block, const std::string& field, std::string message,
              std::string hint = "") {
    Problem problem{0, 0, std::move(message), std::move(hint)};
    const auto place = Locate(block, field);
    problem.line = place.line + 1;
    problem.column = place.column + 1;
    problems_.push_back(std::move(problem));
  }

  TextFormat::ParseLocation Locate(const Block& block,
                                   const std::string& field) const {
    if (block.tree != nullptr) {
      const FieldDescriptor* descriptor = block.field(field);
      const int index = descriptor->is_repeated() ? 0 : -1;
      const auto place = block.tree->GetLocation(descriptor, index);
      if (place.line >= 0) {
        return place;
      }
    }
    return block_place_;
  }

  /// Enters the index-th block of a repeated field of a parent.
  Block Enter(const Block& parent, const std::string& field, int index) {
    block_place_ = parent.tree == nullptr
                       ? TextFormat::ParseLocation()
                       : parent.tree->GetLocation(parent.field(field), index);
    return parent.nested(field, index);
  }

  void CheckName(const Block& block, const std::string& kind,
                 const std::string& name, std::set<std::string>* names) {
    if (name.empty()) {
      Report(block, "name", "the " + kind + " has no name");
      return;
    }
    const bool plain = std::all_of(name.begin(), name.end(), [](char c) {
      return std::isalnum(static_cast<unsigned char>(c)) != 0 || c == '-' ||
             c == '_' || c == '.' || static_cast<unsigned char>(c) >= 0x80;
    });
    if (!plain) {
      Report(block, "name",
             "the " + kind + " name \"" + name + "\" has other characters",
             "use letters, digits, '-', '_' and '.'");
    }
    if (!names->insert(name).second) {
      Report(block, "name", "the " + kind + " \"" + name + "\" is repeated");
    }
  }

  void CheckFailureDomains() {
    for (int i = 0; i < declaration_.failure_domains_size(); ++i) {
      const Block block = Enter(root_, "failure_domains", i);
      const auto& domain = declaration_.failure_domains(i);
      CheckName(block, "failure domain", domain.name(), &domains_);
    }
  }

  void CheckOrganisations() {
    std::set<std::string> names;
    std::map<std::string, std::string> digests;
    for (int i = 0; i < declaration_.organisations_size(); ++i) {
      const Block block = Enter(root_, "organisations", i);
      const auto& organisation = declaration_.organisations(i);
      CheckName(block, "organisation", organisation.name(), &names);
      if (organisation.weight() < 0 || !std::isfinite(organisation.weight())) {
        Report(block, "weight", "the weight must not be negative");
      }
      CheckKeys(block, organisation, &digests);
    }
  }

  void CheckKeys(const Block& organisation_block,
                 const v1::Organisation& organisation,
                 std::map<std::string, std::string>* digests) {
    std::set<std::string> names;
    for (int i = 0; i < organisation.keys_size(); ++i) {
      const Block block = Enter(organisation_block, "keys", i);
      const v1::Key& key = organisation.keys(i);
      CheckName(block, "key", key.name(), &names);
      const std::string& digest = key.sha256();
      const bool hexadecimal =
          digest.size() == kDigestLength &&
          digest.find_first_not_of("0123456789abcdef") == std::string::npos;
      if (!hexadecimal) {
        Report(block, "sha256", "the key's digest is malformed",
               "64 lower-case hexadecimal digits: printf %s SECRET | "
               "sha256sum");
        continue;
      }
      const auto [other, fresh] = digests->emplace(digest, key.name());
      if (!fresh) {
        Report(block, "sha256",
               "the digest is that of key \"" + other->second + "\" too");
      }
    }
  }

  void CheckModels() {
    for (int i = 0; i < declaration_.models_size(); ++i) {
      const Block block = Enter(root_, "models", i);
      const v1::Model& model = declaration_.models(i);
      CheckName(block, "model", model.name(), &models_);
      if (model.version() == 0) {
        Report(block, "version", "the model has no version",
               "versions count from 1");
      }
      if (model.max_swapping_percent() > kMaxPercent) {
        Report(block, "max_swapping_percent", "a percentage is above 100");
      }
    }
  }

  void CheckServices() {
    for (int i = 0; i < declaration_.services_size(); ++i) {
      const Block block = Enter(root_, "services", i);
      const std::string& name = declaration_.services(i).name();
      CheckName(block, "service", name, &services_);
      if (models_.contains(name)) {
        Report(block, "name", "\"" + name + "\" is the name of a model too");
      }
    }
  }

  void CheckClasses() {
    for (int i = 0; i < declaration_.upstream_classes_size(); ++i) {
      const Block block = Enter(root_, "upstream_classes", i);
      const auto& upstream_class = declaration_.upstream_classes(i);
      CheckName(block, "upstream class", upstream_class.name(), &classes_);
      if (upstream_class.price_per_hour() < 0 ||
          !std::isfinite(upstream_class.price_per_hour())) {
        Report(block, "price_per_hour", "the price must not be negative");
      }
      if (upstream_class.slots() == 0) {
        Report(block, "slots", "the upstream class has no slots",
               "requests that one upstream runs at once");
      }
    }
  }

  void CheckTarget(const Block& block, const std::string& model,
                   const std::string& service) {
    if (model.empty() && service.empty()) {
      Report(block, "model", "neither a model nor a service is named");
    } else if (!model.empty() && !models_.contains(model)) {
      Report(block, "model", "there is no model \"" + model + "\"");
    } else if (!service.empty() && !services_.contains(service)) {
      Report(block, "service", "there is no service \"" + service + "\"");
    }
  }

  void CheckPools() {
    std::set<std::pair<std::string, std::string>> pools;
    for (int i = 0; i < declaration_.pools_size(); ++i) {
      const Block block = Enter(root_, "pools", i);
      const v1::Pool& pool = declaration_.pools(i);
      CheckTarget(block, pool.model(), pool.service());
      if (!domains_.contains(pool.failure_domain())) {
        Report(block, "failure_domain",
               "there is no failure domain \"" + pool.failure_domain() + "\"");
      }
      const std::string target = pool.model() + pool.service();
      if (!pools.emplace(target, pool.failure_domain()).second) {
        Report(block, "failure_domain",
               "the pool of \"" + target + "\" in \"" + pool.failure_domain() +
                   "\" is repeated");
      }
      CheckCapacities(block, pool);
    }
  }

  void CheckCapacities(const Block& pool_block, const v1::Pool& pool) {
    std::set<std::string> classes;
    for (int i = 0; i < pool.capacities_size(); ++i) {
      const Block block = Enter(pool_block, "capacities", i);
      const v1::Capacity& capacity = pool.capacities(i);
      const std::string& name = capacity.upstream_class();
      if (!classes_.contains(name)) {
        Report(block, "upstream_class",
               "there is no upstream class \"" + name + "\"");
      }
      if (!classes.insert(name).second) {
        Report(block, "upstream_class",
               "the capacity of class \"" + name + "\" is repeated");
      }
      if (capacity.min_upstreams() > capacity.max_upstreams()) {
        Report(block, "min_upstreams",
               "min_upstreams is above max_upstreams: no capacity meets both");
      }
      if (capacity.max_upstreams() > kMaxUpstreams) {
        Report(block, "max_upstreams",
               "max_upstreams is above " + std::to_string(kMaxUpstreams));
      }
    }
  }

  void CheckRoutes() {
    std::set<std::string> paths;
    for (int i = 0; i < declaration_.routes_size(); ++i) {
      const Block block = Enter(root_, "routes", i);
      const v1::Route& route = declaration_.routes(i);
      if (route.path().empty() || route.path().front() != '/') {
        Report(block, "path", "the path must start with '/'");
      } else if (!paths.insert(route.path()).second) {
        Report(block, "path", "the path \"" + route.path() + "\" is repeated");
      }
      CheckTarget(block, route.model(), route.service());
    }
  }

  void CheckBilling() {
    const v1::Billing& billing = declaration_.billing();
    const std::uint32_t window = billing.window_seconds();
    if (window == 0) {
      return;
    }
    const FieldDescriptor* field = root_.field("billing");
    block_place_ = root_.tree->GetLocation(field, -1);
    const Block block{billing, root_.tree->GetTreeForNested(field, -1)};
    if (window < kMinWindowSeconds || window > kMaxWindowSeconds) {
      Report(block, "window_seconds",
             "window_seconds is outside " + std::to_string(kMinWindowSeconds) +
                 " to " + std::to_string(kMaxWindowSeconds));
    }
  }

  const v1::Declaration& declaration_;
  Block root_;
  TextFormat::ParseLocation block_place_;
  std::vector<Problem> problems_;
  std::set<std::string> domains_;
  std::set<std::string> models_;
  std::set<std::string> services_;
  std::set<std::string> classes_;
};

}  // namespace

std::vector<Problem> BrokenRules(const v1::Declaration& declaration,
                                 const Tree& places) {
  return Rules(declaration, places).Run();
}

}  // namespace mulberryroad::config::internal
