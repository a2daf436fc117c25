// Calls the holder of a key's ledger partition, wherever it is.

#ifndef MULBERRYROAD_SRC_LEDGER_LEDGER_CLIENT_H_
#define MULBERRYROAD_SRC_LEDGER_LEDGER_CLIENT_H_

#include <cstdint>

#include "ledger/ledger_host.h"
#include "membership/members.h"
#include "mulberryroad/ledger.pb.h"
#include "peer/transport.h"

namespace mulberryroad::ledger {

class LedgerClient {
 public:
  LedgerClient(peer::Transport& transport, membership::Members& members,
               LedgerHost& local, std::uint32_t partitions);

  /// Announces a try of a request. Only PROCEED permits to send it. Without an
  /// answer of the holder, on_reply gets NOT_HOLDER; the intent may then stand
  /// and is to be taken back by Finish with not_run.
  void Begin(v1::LedgerIntent intent, OnLedgerReply on_reply);
  /// Records what became of a try. RECORDED once it is durable.
  void Finish(v1::LedgerOutcome outcome, OnLedgerReply on_reply);

 private:
  void Call(v1::LedgerCall call, OnLedgerReply on_reply);

  peer::Transport& transport_;
  membership::Members& members_;
  LedgerHost& local_;
  std::uint32_t partitions_;
};

}  // namespace mulberryroad::ledger

#endif  // MULBERRYROAD_SRC_LEDGER_LEDGER_CLIENT_H_
