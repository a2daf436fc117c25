// The difference of two declarations in readable lines.

#ifndef MULBERRYROAD_SRC_CONFIG_DIFF_H_
#define MULBERRYROAD_SRC_CONFIG_DIFF_H_

#include <string>
#include <vector>

#include "mulberryroad/declaration.pb.h"

namespace mulberryroad::config {

/// Returns one line for each block that is added ("+"), removed ("-") or
/// changed ("~", with the fields' old and new values). Blocks are matched by
/// their names, so that their order does not matter.
std::vector<std::string> Diff(const v1::Declaration& before,
                              const v1::Declaration& after);

}  // namespace mulberryroad::config

#endif  // MULBERRYROAD_SRC_CONFIG_DIFF_H_
