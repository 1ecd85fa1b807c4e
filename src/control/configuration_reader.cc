#include "peridotshelf/control/configuration_reader.h"

#include <map>
#include <nlohmann/json.hpp>
#include <utility>

#include "control/json_fields.h"

namespace peridotshelf::control {
namespace {

using detail::JsonFields;
using detail::Presence;
using detail::Range;
using nlohmann::json;

constexpr Range<int64_t> kMemoryTokens{1, int64_t{1} << 40};
constexpr Range<int64_t> kSlots{1, 1 << 16};
constexpr Range<int64_t> kPriority{-1000, 1000};
constexpr Range<int64_t> kRunningTokens{0, int64_t{1} << 50};
constexpr Range<int64_t> kLongPrefills{0, 1 << 16};
constexpr Range<double> kShare{0.001, 1e6};
constexpr Range<double> kWeight{0.0, 1e6};
constexpr Range<double> kFraction{0.0, 1.0};

std::string AppendIndex(const std::string& path, size_t index) {
  return path + "/" + std::to_string(index);
}

std::string ReadUrl(JsonFields& fields) {
  std::string url = fields.ReadString("url");
  if (!url.empty() && !url.starts_with("http://")) {
    fields.AddError(fields.GetFieldPath("url"), "must begin with http://");
  }
  return url;
}

EngineRole ReadRole(JsonFields& fields) {
  const std::string name = fields.ReadString("role", Presence::kOptional);
  if (name == "long") return EngineRole::kLong;
  if (!name.empty() && name != "general") {
    fields.AddError(fields.GetFieldPath("role"), "must be general or long");
  }
  return EngineRole::kGeneral;
}

EngineConfig ReadEngine(const json& value, const std::string& path,
                        ConfigurationErrors& errors) {
  JsonFields fields(value, path, errors);
  EngineConfig engine;
  engine.id = EngineId(fields.ReadString("id"));
  engine.host = HostId(fields.ReadString("host"));
  engine.url = ReadUrl(fields);
  engine.model = fields.ReadString("model");
  engine.memory_tokens = fields.ReadInteger(
      "memory_tokens", Presence::kRequired, 0, kMemoryTokens);
  engine.slots = static_cast<int32_t>(
      fields.ReadInteger("slots", Presence::kRequired, 0, kSlots));
  engine.role = ReadRole(fields);
  engine.checks_fencing = fields.ReadBool("checks_fencing", false);
  fields.RejectUnknownFields();
  return engine;
}

PlainBackendConfig ReadBackend(const json& value, const std::string& path,
                               ConfigurationErrors& errors) {
  JsonFields fields(value, path, errors);
  PlainBackendConfig backend;
  backend.id = fields.ReadString("id");
  backend.host = HostId(fields.ReadString("host"));
  backend.url = ReadUrl(fields);
  fields.RejectUnknownFields();
  return backend;
}

TeamConfig ReadTeam(const json& value, const std::string& path,
                    ConfigurationErrors& errors) {
  JsonFields fields(value, path, errors);
  TeamConfig team;
  team.id = TeamId(fields.ReadString("id"));
  team.priority = static_cast<int32_t>(
      fields.ReadInteger("priority", Presence::kOptional, 0, kPriority));
  team.share = fields.ReadNumber("share", team.share, kShare);
  team.max_running_tokens = fields.ReadInteger(
      "max_running_tokens", Presence::kOptional, 0, kRunningTokens);
  fields.RejectUnknownFields();
  return team;
}

ServiceKind ReadKind(JsonFields& fields) {
  const std::string name = fields.ReadString("kind", Presence::kOptional);
  if (name == "plain") return ServiceKind::kPlain;
  if (!name.empty() && name != "completions") {
    fields.AddError(fields.GetFieldPath("kind"),
                    "must be completions or plain");
  }
  return ServiceKind::kCompletions;
}

ServiceConfig ReadService(const json& value, const std::string& path,
                          ConfigurationErrors& errors) {
  JsonFields fields(value, path, errors);
  ServiceConfig service;
  service.name = fields.ReadString("name");
  service.kind = ReadKind(fields);
  const bool is_plain = service.kind == ServiceKind::kPlain;
  service.model = fields.ReadString(
      "model", is_plain ? Presence::kOptional : Presence::kRequired);
  for (std::string& id : fields.ReadStrings("engines")) {
    service.engines.emplace_back(std::move(id));
  }
  service.backends = fields.ReadStrings("backends");
  size_t index = 0;
  for (const json* team : fields.ReadArray("teams", Presence::kRequired)) {
    service.teams.push_back(
        ReadTeam(*team, AppendIndex(path + "/teams", index++), errors));
  }
  service.retry_fraction =
      fields.ReadNumber("retry_fraction", service.retry_fraction, kFraction);
  service.unrepeatable_by_default =
      fields.ReadBool("unrepeatable_by_default", false);
  fields.RejectUnknownFields();
  return service;
}

std::map<TeamId, int32_t> ReadPriorityOffsets(JsonFields& fields) {
  std::map<TeamId, int32_t> offsets;
  const json* value = fields.Find("priority_offsets", Presence::kOptional);
  if (value == nullptr) return offsets;
  const std::string path = fields.GetFieldPath("priority_offsets");
  JsonFields teams(*value, path, fields.errors());
  if (!value->is_object()) return offsets;
  for (const auto& [team, offset] : value->items()) {
    offsets[TeamId(team)] = static_cast<int32_t>(
        teams.ReadInteger(team, Presence::kRequired, 0, kPriority));
  }
  return offsets;
}

Preset ReadPreset(const json& value, const std::string& path,
                  ConfigurationErrors& errors) {
  JsonFields fields(value, path, errors);
  Preset preset;
  preset.name = fields.ReadString("name");
  preset.short_weight =
      fields.ReadNumber("short_weight", preset.short_weight, kWeight);
  preset.long_weight =
      fields.ReadNumber("long_weight", preset.long_weight, kWeight);
  preset.short_reserve =
      fields.ReadNumber("short_reserve", preset.short_reserve, kFraction);
  preset.max_long_prefills = static_cast<int32_t>(
      fields.ReadInteger("max_long_prefills", Presence::kOptional,
                         preset.max_long_prefills, kLongPrefills));
  preset.long_engine_fraction = fields.ReadNumber(
      "long_engine_fraction", preset.long_engine_fraction, kFraction);
  preset.priority_offsets = ReadPriorityOffsets(fields);
  fields.RejectUnknownFields();
  return preset;
}

/// Reads each element of the array `name` with `read`.
template <class Read>
auto ReadList(JsonFields& fields, const std::string& name, Presence presence,
              Read read) {
  std::vector<std::invoke_result_t<Read, const json&, const std::string&,
                                   ConfigurationErrors&>>
      list;
  for (const json* element : fields.ReadArray(name, presence)) {
    list.push_back(
        read(*element, AppendIndex("/" + name, list.size()), fields.errors()));
  }
  return list;
}

/// Adds an error for each element whose key an earlier element has.
template <class T, class GetKey>
void RejectDuplicates(const std::vector<T>& list, const std::string& path,
                      const std::string& field, GetKey get_key,
                      ConfigurationErrors& errors) {
  std::set<std::string> seen;
  for (size_t i = 0; i < list.size(); ++i) {
    const std::string& key = get_key(list[i]);
    if (!key.empty() && !seen.insert(key).second) {
      errors.push_back(
          {AppendIndex(path, i) + "/" + field, "is a duplicate: " + key});
    }
  }
}

void CheckDuplicates(const Configuration& configuration,
                     ConfigurationErrors& errors) {
  RejectDuplicates(
      configuration.engines, "/engines", "id",
      [](const auto& engine) { return engine.id.value(); }, errors);
  RejectDuplicates(
      configuration.backends, "/backends", "id",
      [](const auto& backend) { return backend.id; }, errors);
  RejectDuplicates(
      configuration.services, "/services", "name",
      [](const auto& service) { return service.name; }, errors);
  RejectDuplicates(
      configuration.presets, "/presets", "name",
      [](const auto& preset) { return preset.name; }, errors);
  for (size_t i = 0; i < configuration.services.size(); ++i) {
    RejectDuplicates(
        configuration.services[i].teams, AppendIndex("/services", i) + "/teams",
        "id", [](const auto& team) { return team.id.value(); }, errors);
  }
}

void CheckEngines(const ServiceConfig& service, const std::string& path,
                  const std::map<EngineId, std::string>& models,
                  ConfigurationErrors& errors) {
  for (size_t i = 0; i < service.engines.size(); ++i) {
    const auto engine = models.find(service.engines[i]);
    const std::string engine_path = AppendIndex(path + "/engines", i);
    if (engine == models.end()) {
      errors.push_back({engine_path, "is not the id of a listed engine"});
    } else if (engine->second != service.model) {
      errors.push_back({engine_path, "is an engine of another model"});
    }
  }
}

void CheckBackends(const ServiceConfig& service, const std::string& path,
                   const std::set<std::string>& backends,
                   ConfigurationErrors& errors) {
  for (size_t i = 0; i < service.backends.size(); ++i) {
    if (!backends.contains(service.backends[i])) {
      errors.push_back({AppendIndex(path + "/backends", i),
                        "is not the id of a listed backend server"});
    }
  }
}

void CheckServices(const Configuration& configuration,
                   ConfigurationErrors& errors) {
  std::map<EngineId, std::string> models;
  for (const EngineConfig& engine : configuration.engines) {
    models[engine.id] = engine.model;
  }
  std::set<std::string> backends;
  for (const auto& backend : configuration.backends) {
    backends.insert(backend.id);
  }
  for (size_t i = 0; i < configuration.services.size(); ++i) {
    const ServiceConfig& service = configuration.services[i];
    const std::string path = AppendIndex("/services", i);
    const bool is_plain = service.kind == ServiceKind::kPlain;
    if (!is_plain && !service.backends.empty()) {
      errors.push_back(
          {path + "/backends", "is allowed for plain services only"});
    }
    if (is_plain && !service.engines.empty()) {
      errors.push_back(
          {path + "/engines", "is allowed for completions services only"});
    }
    CheckEngines(service, path, models, errors);
    CheckBackends(service, path, backends, errors);
  }
}

void CheckPresets(const Configuration& configuration,
                  ConfigurationErrors& errors) {
  if (configuration.presets.empty()) {
    errors.push_back({"/presets", "must list at least one preset"});
  }
  bool found = false;
  for (const Preset& preset : configuration.presets) {
    found = found || preset.name == configuration.initial_preset;
  }
  if (!found) {
    errors.push_back({"/initial_preset", "is not the name of a listed preset"});
  }
}

}  // namespace

bool NestsAtMost(std::string_view text, int limit) {
  int depth = 0;
  bool in_string = false;
  for (size_t i = 0; i < text.size(); ++i) {
    const char c = text[i];
    if (in_string && c == '\\') {
      ++i;
    } else if (c == '"') {
      in_string = !in_string;
    } else if (!in_string && (c == '[' || c == '{')) {
      if (++depth > limit) return false;
    } else if (!in_string && (c == ']' || c == '}')) {
      --depth;
    }
  }
  return true;
}

ConfigurationResult ReadConfiguration(std::string_view document) {
  if (!NestsAtMost(document, kMaxDocumentDepth)) {
    return tl::unexpected(ConfigurationErrors{{"", "nests too deeply"}});
  }
  const json value = json::parse(document, nullptr, false);
  if (value.is_discarded()) {
    return tl::unexpected(ConfigurationErrors{{"", "is not valid JSON"}});
  }
  ConfigurationErrors errors;
  JsonFields fields(value, "", errors);
  auto configuration = std::make_shared<Configuration>();
  configuration->engines =
      ReadList(fields, "engines", Presence::kOptional, ReadEngine);
  configuration->backends =
      ReadList(fields, "backends", Presence::kOptional, ReadBackend);
  configuration->services =
      ReadList(fields, "services", Presence::kRequired, ReadService);
  configuration->presets =
      ReadList(fields, "presets", Presence::kRequired, ReadPreset);
  configuration->initial_preset = fields.ReadString("initial_preset");
  fields.RejectUnknownFields();
  CheckDuplicates(*configuration, errors);
  CheckServices(*configuration, errors);
  CheckPresets(*configuration, errors);
  if (!errors.empty()) return tl::unexpected(std::move(errors));
  return configuration;
}

}  // namespace peridotshelf::control
