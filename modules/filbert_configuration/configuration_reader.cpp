#include "configuration_reader.h"

#include <cmath>
#include <fstream>
#include <google/protobuf/descriptor.h>
#include <limits>
#include <map>
#include <set>
#include <sstream>
#include <yaml-cpp/yaml.h>

namespace filbert {

namespace {

using google::protobuf::FieldDescriptor;
using google::protobuf::Message;

constexpr int maxDepth = 16;
constexpr std::size_t maxFileBytes = 8 << 20;

/** File and line of each field by its path, for problems that only validation finds. */
using line_table = std::map<std::string, std::pair<std::string, int>>;

/** Fills a message from a YAML node by reflection: its descriptor says which fields exist. */
class node_reader
{
public:
    node_reader(std::string file, std::vector<configuration_problem> *problems, line_table *lines)
        : file {std::move(file)}
        , problems {problems}
        , lines {lines}
    {
    }

    void readMessage(const YAML::Node &node, const std::string &path, Message *message, int depth)
    {
        if (depth > maxDepth) {
            addProblem(node, path, "a less deeply nested value");
            return;
        }
        if (!node.IsMap()) {
            addProblem(node, path, "a map of fields");
            return;
        }
        std::set<std::string> seen;
        for (const auto &entry : node) {
            const auto name = entry.first.as<std::string>("");
            auto field = path;
            field.append(path.empty() ? "" : ".").append(name);
            const auto *descriptor = message->GetDescriptor()->FindFieldByName(name);
            if (descriptor == nullptr) {
                addProblem(entry.first, field, "a known field, one of: " + fieldNames(*message));
            } else if (!seen.insert(name).second) {
                addProblem(entry.first, field, "a field that occurs only once");
            } else if (descriptor->is_repeated()) {
                readList(entry.second, field, message, descriptor, depth);
            } else {
                readField(entry.second, field, message, descriptor, depth);
            }
        }
    }

private:
    static std::string fieldNames(const Message &message)
    {
        std::string names;
        for (int i = 0; i < message.GetDescriptor()->field_count(); ++i) {
            names += (i == 0 ? "" : ", ") + message.GetDescriptor()->field(i)->name();
        }
        return names;
    }

    void addProblem(const YAML::Node &node, const std::string &field, const std::string &expected)
    {
        problems->push_back({file, node.Mark().line + 1, field, expected});
    }

    void recordLine(const YAML::Node &node, const std::string &field)
    {
        lines->insert_or_assign(field, std::pair {file, node.Mark().line + 1});
    }

    void readList(const YAML::Node &node, const std::string &path, Message *message,
                  const FieldDescriptor *descriptor, int depth)
    {
        if (!node.IsSequence()) {
            addProblem(node, path, "a list");
            return;
        }
        const auto *reflection = message->GetReflection();
        for (const auto &element : node) {
            const auto index = reflection->FieldSize(*message, descriptor);
            const auto field = path + "[" + std::to_string(index) + "]";
            recordLine(element, field);
            readMessage(element, field, reflection->AddMessage(message, descriptor), depth + 1);
        }
    }

    void readField(const YAML::Node &node, const std::string &path, Message *message,
                   const FieldDescriptor *descriptor, int depth)
    {
        recordLine(node, path);
        const auto *reflection = message->GetReflection();
        if (descriptor->cpp_type() == FieldDescriptor::CPPTYPE_MESSAGE) {
            readMessage(node, path, reflection->MutableMessage(message, descriptor), depth + 1);
            return;
        }
        if (!node.IsScalar()) {
            addProblem(node, path, "a single value");
            return;
        }
        switch (descriptor->cpp_type()) {
        case FieldDescriptor::CPPTYPE_STRING:
            reflection->SetString(message, descriptor, node.as<std::string>());
            break;
        case FieldDescriptor::CPPTYPE_BOOL:
            readValue<bool>(node, path, "true or false",
                            [&](bool value) { reflection->SetBool(message, descriptor, value); });
            break;
        case FieldDescriptor::CPPTYPE_INT32:
            readValue<std::int32_t>(node, path, "a whole number", [&](std::int32_t value) {
                reflection->SetInt32(message, descriptor, value);
            });
            break;
        case FieldDescriptor::CPPTYPE_DOUBLE:
            readValue<double>(node, path, "a number", [&](double value) {
                if (std::isfinite(value)) {
                    reflection->SetDouble(message, descriptor, value);
                } else {
                    addProblem(node, path, "a finite number");
                }
            });
            break;
        case FieldDescriptor::CPPTYPE_ENUM:
            readEnum(node, path, message, descriptor);
            break;
        default:
            addProblem(node, path, "a field that can be set");
        }
    }

    template <typename Value, typename Setter>
    void readValue(const YAML::Node &node, const std::string &path, const char *expected,
                   const Setter &set)
    {
        Value value {};
        if (YAML::convert<Value>::decode(node, value)) {
            set(value);
        } else {
            addProblem(node, path, expected);
        }
    }

    void readEnum(const YAML::Node &node, const std::string &path, Message *message,
                  const FieldDescriptor *descriptor)
    {
        const auto *type = descriptor->enum_type();
        std::string names;
        const auto text = node.as<std::string>();
        for (int i = 0; i < type->value_count(); ++i) {
            std::string name = type->value(i)->name();
            for (auto &c : name) {
                c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
            }
            if (name == text) {
                message->GetReflection()->SetEnum(message, descriptor, type->value(i));
                return;
            }
            names += (i == 0 ? "" : ", ") + name;
        }
        addProblem(node, path, "one of: " + names);
    }

    std::string file;
    std::vector<configuration_problem> *problems;
    line_table *lines;
};

void parseText(const std::string &name, const std::string &text,
               messages::configuration *configuration, std::vector<configuration_problem> *problems,
               line_table *lines)
{
    if (text.size() > maxFileBytes) {
        problems->push_back({name, 0, "", "at most 8 MiB"});
        return;
    }
    try {
        const auto node = YAML::Load(text);
        if (!node.IsNull()) {
            node_reader {name, problems, lines}.readMessage(node, "", configuration, 0);
        }
    } catch (const YAML::Exception &error) {
        problems->push_back({name, error.mark.line + 1, "", "YAML: " + error.msg});
    }
}

std::error_code addValidationProblems(const messages::configuration &configuration,
                                      std::vector<configuration_problem> *problems,
                                      const line_table &lines)
{
    if (!problems->empty()) {
        return error_kind::Malformed;
    }
    for (auto problem : validateConfiguration(configuration)) {
        // A field that is absent from the file gets the line of the nearest enclosing one.
        for (std::string field = problem.field; !field.empty();) {
            if (const auto found = lines.find(field); found != lines.end()) {
                problem.file = found->second.first;
                problem.line = found->second.second;
                break;
            }
            const auto separator = field.find_last_of(".[");
            field.resize(separator == std::string::npos ? 0 : separator);
        }
        problems->push_back(std::move(problem));
    }
    return problems->empty() ? std::error_code {} : error_kind::Malformed;
}

} // namespace

std::error_code readConfiguration(const std::vector<std::string> &paths,
                                  messages::configuration *configuration,
                                  std::vector<configuration_problem> *problems)
{
    line_table lines;
    for (const auto &path : paths) {
        std::ifstream stream {path};
        if (!stream) {
            problems->push_back({path, 0, "", "a readable file"});
            continue;
        }
        std::ostringstream text;
        text << stream.rdbuf();
        parseText(path, text.str(), configuration, problems, &lines);
    }
    return addValidationProblems(*configuration, problems, lines);
}

std::error_code readConfigurationText(const std::string &name, const std::string &text,
                                      messages::configuration *configuration,
                                      std::vector<configuration_problem> *problems)
{
    line_table lines;
    parseText(name, text, configuration, problems, &lines);
    return addValidationProblems(*configuration, problems, lines);
}

} // namespace filbert
