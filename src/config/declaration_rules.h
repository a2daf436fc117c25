// The rules that a well-formed declaration must meet.

#ifndef MULBERRYROAD_SRC_CONFIG_DECLARATION_RULES_H_
#define MULBERRYROAD_SRC_CONFIG_DECLARATION_RULES_H_

#include <google/protobuf/text_format.h>

#include <vector>

#include "config/check.h"

namespace mulberryroad::config::internal {

/// Returns all broken rules in the order of the declaration's fields.
/// @param places where each field stands in the text
std::vector<Problem> BrokenRules(
    const v1::Declaration& declaration,
    const google::protobuf::TextFormat::ParseInfoTree& places);

}  // namespace mulberryroad::config::internal

#endif  // MULBERRYROAD_SRC_CONFIG_DECLARATION_RULES_H_
