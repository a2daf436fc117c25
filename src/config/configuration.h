// The configuration in force at this node.

#ifndef MULBERRYROAD_SRC_CONFIG_CONFIGURATION_H_
#define MULBERRYROAD_SRC_CONFIG_CONFIGURATION_H_

#include <sigc++/signal.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "mulberryroad/api.pb.h"
#include "mulberryroad/declaration.pb.h"
#include "mulberryroad/ids.h"

namespace mulberryroad::config {

/// Why a key is not honoured.
enum class KeyRefusal {
  /// No organisation has this key: answer 401.
  kUnknown,
  /// This node cannot know whether the key was withdrawn meanwhile: answer 503.
  kIsolated,
};

class Configuration {
 public:
  virtual ~Configuration() = default;
  /// Returns the declaration in force, or null before the first one. Valid
  /// until the next change.
  virtual const v1::Declaration* declaration() const = 0;
  /// Returns the revision in force; 0 before the first one.
  virtual std::uint64_t revision() const = 0;
  /// Finds the organisation that a key speaks for.
  /// @param secret the key as the caller showed it
  /// @param refusal receives the cause if nullopt is returned
  virtual std::optional<OrganisationId> Authorise(
      std::string_view secret, KeyRefusal* refusal) const = 0;
  /// Proposes a declaration in text format on a base revision.
  virtual void Apply(const std::string& text, std::uint64_t base_revision,
                     const std::string& operator_name,
                     std::function<void(v1::ApplyReply)> on_applied) = 0;
  /// Emitted after another revision came into force.
  virtual sigc::signal<void()>& changed() = 0;
};

}  // namespace mulberryroad::config

#endif  // MULBERRYROAD_SRC_CONFIG_CONFIGURATION_H_
