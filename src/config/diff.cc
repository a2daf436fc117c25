#include "config/diff.h"

#include <google/protobuf/text_format.h>

#include <map>
#include <memory>

namespace mulberryroad::config {

namespace {

using google::protobuf::FieldDescriptor;
using google::protobuf::Message;
using google::protobuf::TextFormat;

using BlocksByName = std::map<std::string, std::string>;

std::string OneLine(const Message& message) {
  TextFormat::Printer printer;
  printer.SetSingleLineMode(true);
  printer.SetUseUtf8StringEscaping(true);
  std::string text;
  printer.PrintToString(message, &text);
  while (!text.empty() && text.back() == ' ') {
    text.pop_back();
  }
  return text;
}

/// Adds the blocks of a message to a map, each under its path of names. Nested
/// lists (keys, capacities) become blocks of their own.
void Flatten(const Message& message, const std::string& path,
             BlocksByName* blocks);

std::string NameOf(const Message& message) {
  const auto* descriptor = message.GetDescriptor();
  const auto* reflection = message.GetReflection();
  std::string name;
  for (const char* part : {"name", "path", "model", "service", "failure_domain",
                           "upstream_class"}) {
    const FieldDescriptor* field = descriptor->FindFieldByName(part);
    const bool own_name = name.empty() || descriptor->name() == "Pool";
    if (field == nullptr || !own_name) {
      continue;
    }
    const std::string value = reflection->GetString(message, field);
    name += (name.empty() || value.empty() ? "" : "@") + value;
  }
  return name;
}

void FlattenList(const Message& message, const FieldDescriptor* field,
                 const std::string& path, BlocksByName* blocks) {
  const auto* reflection = message.GetReflection();
  const int size = reflection->FieldSize(message, field);
  for (int i = 0; i < size; ++i) {
    const Message& block = reflection->GetRepeatedMessage(message, field, i);
    Flatten(block, path + field->name() + " " + NameOf(block), blocks);
  }
}

void Flatten(const Message& message, const std::string& path,
             BlocksByName* blocks) {
  const auto* descriptor = message.GetDescriptor();
  const std::string prefix = path.empty() ? "" : path + " / ";
  const std::unique_ptr<Message> own(message.New());
  own->CopyFrom(message);
  for (int i = 0; i < descriptor->field_count(); ++i) {
    const FieldDescriptor* field = descriptor->field(i);
    if (field->is_repeated() &&
        field->cpp_type() == FieldDescriptor::CPPTYPE_MESSAGE) {
      FlattenList(message, field, prefix, blocks);
      own->GetReflection()->ClearField(own.get(), field);
    }
  }
  const std::string text = OneLine(*own);
  if (!path.empty() || !text.empty()) {
    (*blocks)[path] = text;
  }
}

std::string Line(const char* sign, const std::string& path,
                 const std::string& text) {
  std::string line = sign;
  line += path;
  line += ": ";
  line += text;
  return line;
}

}  // namespace

std::vector<std::string> Diff(const v1::Declaration& before,
                              const v1::Declaration& after) {
  BlocksByName old_blocks;
  BlocksByName new_blocks;
  Flatten(before, "", &old_blocks);
  Flatten(after, "", &new_blocks);
  std::vector<std::string> lines;
  for (const auto& [path, text] : old_blocks) {
    if (!new_blocks.contains(path)) {
      lines.push_back(Line("- ", path, text));
    }
  }
  for (const auto& [path, text] : new_blocks) {
    const auto old = old_blocks.find(path);
    if (old == old_blocks.end()) {
      lines.push_back(Line("+ ", path, text));
    } else if (old->second != text) {
      lines.push_back(Line("~ ", path, old->second + " -> ") + text);
    }
  }
  return lines;
}

}  // namespace mulberryroad::config
