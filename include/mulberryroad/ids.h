// Strongly typed identifiers: an id of one kind does not convert to another.

#ifndef MULBERRYROAD_IDS_H_
#define MULBERRYROAD_IDS_H_

#include <compare>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace mulberryroad {

/// String identifier.
/// @tparam Tag distinguishes the kinds of identifier; never instantiated
template <typename Tag>
class Id {
 public:
  Id() = default;
  explicit Id(std::string value) : value_(std::move(value)) {}

  const std::string& value() const { return value_; }
  bool empty() const { return value_.empty(); }

  friend auto operator<=>(const Id&, const Id&) = default;
  friend std::ostream& operator<<(std::ostream& out, const Id& id) {
    return out << id.value_;
  }

 private:
  std::string value_;
};

using NodeId = Id<struct NodeTag>;
using OrganisationId = Id<struct OrganisationTag>;
using UpstreamId = Id<struct UpstreamTag>;
using FailureDomainId = Id<struct FailureDomainTag>;
using RequestId = Id<struct RequestTag>;
using BatchId = Id<struct BatchTag>;
/// Name of a model or of a service without models.
using TargetId = Id<struct TargetTag>;
/// Name of a role that a node holds through a lease.
using RoleId = Id<struct RoleTag>;

/// Identifies the upstreams of one model or service in one failure domain.
struct PoolId {
  TargetId target;
  FailureDomainId failure_domain;

  friend auto operator<=>(const PoolId&, const PoolId&) = default;
};

/// Returns "target@failure-domain".
inline std::string ToString(const PoolId& pool) {
  return pool.target.value() + "@" + pool.failure_domain.value();
}

}  // namespace mulberryroad

template <typename Tag>
struct std::hash<mulberryroad::Id<Tag>> {
  std::size_t operator()(const mulberryroad::Id<Tag>& id) const noexcept {
    return std::hash<std::string>()(id.value());
  }
};

#endif  // MULBERRYROAD_IDS_H_
