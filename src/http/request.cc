#include "http/request.h"

#include <event2/http.h>
#include <event2/keyvalq_struct.h>

namespace mulberryroad::http {

std::optional<std::string> Request::header(const std::string& name) const {
  const auto found = headers.find(name);
  return found == headers.end() ? std::nullopt : std::optional(found->second);
}

std::optional<std::string> Request::parameter(const std::string& name) const {
  const std::size_t start = target.find('?');
  evkeyvalq parameters{};
  if (start == std::string::npos ||
      evhttp_parse_query_str(target.c_str() + start + 1, &parameters) != 0) {
    return std::nullopt;
  }
  std::optional<std::string> result;
  for (const evkeyval* parameter = parameters.tqh_first; parameter != nullptr;
       parameter = parameter->next.tqe_next) {
    if (name == parameter->key) {
      result = parameter->value;
    }
  }
  evhttp_clear_headers(&parameters);
  return result;
}

}  // namespace mulberryroad::http
