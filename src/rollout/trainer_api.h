// HTTP API for trainers: submits batches, pulls samples by cursor and
// acknowledges them.

#ifndef MULBERRYROAD_SRC_ROLLOUT_TRAINER_API_H_
#define MULBERRYROAD_SRC_ROLLOUT_TRAINER_API_H_

#include <memory>
#include <optional>
#include <string>

#include "base/decision_log.h"
#include "config/configuration.h"
#include "http/server.h"
#include "rollout/batch_host.h"

namespace mulberryroad::rollout {

/// Validates a specification.
/// @param declaration the active declaration, or null if there is none
/// @return the reason for which the specification is invalid, or nullopt
std::optional<std::string> ValidateSpec(const v1::BatchSpec& spec,
                                        const v1::Declaration* declaration);

/// Serves POST /v1/batches, GET /v1/batches/ID/samples and
/// POST /v1/batches/ID/ack. A batch is visible only to its own organisation,
/// which is derived from the API key.
class TrainerApi {
 public:
  TrainerApi(http::Server& server, config::Configuration& config,
             BatchHost& host, base::DecisionLog& decisions);

 private:
  using Exchange = std::shared_ptr<http::Exchange>;

  std::optional<OrganisationId> Authorise(const Exchange& exchange);
  void Post(const Exchange& exchange);
  void Submit(const Exchange& exchange, const OrganisationId& organisation);
  void Acknowledge(const Exchange& exchange, const OrganisationId& organisation,
                   const std::string& batch);
  void Pull(const Exchange& exchange);
  void Send(v1::BatchCall call, const Exchange& exchange);
  void Reject(const Exchange& exchange, int status, const std::string& reason);

  config::Configuration& config_;
  BatchHost& host_;
  base::DecisionLog& decisions_;
};

}  // namespace mulberryroad::rollout

#endif  // MULBERRYROAD_SRC_ROLLOUT_TRAINER_API_H_
