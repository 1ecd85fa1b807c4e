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

std::string Join(const std::string& path, size_t index) {
  return path + "/" + std::to_string(index);
}

std::string ReadUrl(JsonFields& fields) {
  std::string url = fields.Text("url");
  if (!url.empty() && !url.starts_with("http://")) {
    fields.AddFault(fields.PathOf("url"), "must begin with http://");
  }
  return url;
}

EngineRole ReadRole(JsonFields& fields) {
  const std::string name = fields.Text("role", Presence::kOptional);
  if (name == "long") return EngineRole::kLong;
  if (!name.empty() && name != "general") {
    fields.AddFault(fields.PathOf("role"), "must be general or long");
  }
  return EngineRole::kGeneral;
}

EngineConfig ReadEngine(const json& value, const std::string& path,
                        ConfigurationErrors& faults) {
  JsonFields fields(value, path, faults);
  EngineConfig engine;
  engine.id = EngineId(fields.Text("id"));
  engine.host = HostId(fields.Text("host"));
  engine.url = ReadUrl(fields);
  engine.model = fields.Text("model");
  engine.memory_tokens =
      fields.Integer("memory_tokens", Presence::kRequired, 0, kMemoryTokens);
  engine.slots = static_cast<int32_t>(
      fields.Integer("slots", Presence::kRequired, 0, kSlots));
  engine.role = ReadRole(fields);
  engine.checks_fencing = fields.Flag("checks_fencing", false);
  fields.RejectUnknown();
  return engine;
}

PlainBackendConfig ReadBackend(const json& value, const std::string& path,
                               ConfigurationErrors& faults) {
  JsonFields fields(value, path, faults);
  PlainBackendConfig backend;
  backend.id = fields.Text("id");
  backend.host = HostId(fields.Text("host"));
  backend.url = ReadUrl(fields);
  fields.RejectUnknown();
  return backend;
}

TeamConfig ReadTeam(const json& value, const std::string& path,
                    ConfigurationErrors& faults) {
  JsonFields fields(value, path, faults);
  TeamConfig team;
  team.id = TeamId(fields.Text("id"));
  team.priority = static_cast<int32_t>(
      fields.Integer("priority", Presence::kOptional, 0, kPriority));
  team.share = fields.Number("share", team.share, kShare);
  team.max_running_tokens = fields.Integer(
      "max_running_tokens", Presence::kOptional, 0, kRunningTokens);
  fields.RejectUnknown();
  return team;
}

ServiceKind ReadKind(JsonFields& fields) {
  const std::string name = fields.Text("kind", Presence::kOptional);
  if (name == "plain") return ServiceKind::kPlain;
  if (!name.empty() && name != "completions") {
    fields.AddFault(fields.PathOf("kind"), "must be completions or plain");
  }
  return ServiceKind::kCompletions;
}

ServiceConfig ReadService(const json& value, const std::string& path,
                          ConfigurationErrors& faults) {
  JsonFields fields(value, path, faults);
  ServiceConfig service;
  service.name = fields.Text("name");
  service.kind = ReadKind(fields);
  const bool plain = service.kind == ServiceKind::kPlain;
  service.model =
      fields.Text("model", plain ? Presence::kOptional : Presence::kRequired);
  for (std::string& id : fields.Texts("engines")) {
    service.engines.emplace_back(std::move(id));
  }
  service.backends = fields.Texts("backends");
  size_t index = 0;
  for (const json* team : fields.Elements("teams", Presence::kRequired)) {
    service.teams.push_back(
        ReadTeam(*team, Join(path + "/teams", index++), faults));
  }
  service.retry_fraction =
      fields.Number("retry_fraction", service.retry_fraction, kFraction);
  service.unrepeatable_by_default =
      fields.Flag("unrepeatable_by_default", false);
  fields.RejectUnknown();
  return service;
}

std::map<TeamId, int32_t> ReadOffsets(JsonFields& fields) {
  std::map<TeamId, int32_t> offsets;
  const json* value = fields.Find("priority_offsets", Presence::kOptional);
  if (value == nullptr) return offsets;
  const std::string path = fields.PathOf("priority_offsets");
  JsonFields teams(*value, path, fields.faults());
  if (!value->is_object()) return offsets;
  for (const auto& [team, offset] : value->items()) {
    offsets[TeamId(team)] = static_cast<int32_t>(
        teams.Integer(team, Presence::kRequired, 0, kPriority));
  }
  return offsets;
}

Preset ReadPreset(const json& value, const std::string& path,
                  ConfigurationErrors& faults) {
  JsonFields fields(value, path, faults);
  Preset preset;
  preset.name = fields.Text("name");
  preset.short_weight =
      fields.Number("short_weight", preset.short_weight, kWeight);
  preset.long_weight =
      fields.Number("long_weight", preset.long_weight, kWeight);
  preset.short_reserve =
      fields.Number("short_reserve", preset.short_reserve, kFraction);
  preset.max_long_prefills = static_cast<int32_t>(
      fields.Integer("max_long_prefills", Presence::kOptional,
                     preset.max_long_prefills, kLongPrefills));
  preset.long_engine_fraction = fields.Number(
      "long_engine_fraction", preset.long_engine_fraction, kFraction);
  preset.priority_offsets = ReadOffsets(fields);
  fields.RejectUnknown();
  return preset;
}

/// Reads each element of the array `name` with `read`.
template <class Read>
auto ReadList(JsonFields& fields, const std::string& name, Presence presence,
              Read read) {
  std::vector<std::invoke_result_t<Read, const json&, const std::string&,
                                   ConfigurationErrors&>>
      list;
  for (const json* element : fields.Elements(name, presence)) {
    list.push_back(
        read(*element, Join("/" + name, list.size()), fields.faults()));
  }
  return list;
}

/// Notes each element whose key an earlier one has.
template <class T, class KeyOf>
void RejectDuplicates(const std::vector<T>& list, const std::string& path,
                      const std::string& field, KeyOf key_of,
                      ConfigurationErrors& faults) {
  std::set<std::string> seen;
  for (size_t i = 0; i < list.size(); ++i) {
    const std::string& key = key_of(list[i]);
    if (!key.empty() && !seen.insert(key).second) {
      faults.push_back({Join(path, i) + "/" + field, "is used twice: " + key});
    }
  }
}

void CheckDuplicates(const Configuration& configuration,
                     ConfigurationErrors& faults) {
  RejectDuplicates(
      configuration.engines, "/engines", "id",
      [](const auto& engine) { return engine.id.value(); }, faults);
  RejectDuplicates(
      configuration.backends, "/backends", "id",
      [](const auto& backend) { return backend.id; }, faults);
  RejectDuplicates(
      configuration.services, "/services", "name",
      [](const auto& service) { return service.name; }, faults);
  RejectDuplicates(
      configuration.presets, "/presets", "name",
      [](const auto& preset) { return preset.name; }, faults);
  for (size_t i = 0; i < configuration.services.size(); ++i) {
    RejectDuplicates(
        configuration.services[i].teams, Join("/services", i) + "/teams", "id",
        [](const auto& team) { return team.id.value(); }, faults);
  }
}

void CheckEngines(const ServiceConfig& service, const std::string& path,
                  const std::map<EngineId, std::string>& models,
                  ConfigurationErrors& faults) {
  for (size_t i = 0; i < service.engines.size(); ++i) {
    const auto engine = models.find(service.engines[i]);
    const std::string engine_path = Join(path + "/engines", i);
    if (engine == models.end()) {
      faults.push_back({engine_path, "names an engine that is not listed"});
    } else if (engine->second != service.model) {
      faults.push_back({engine_path, "names an engine of another model"});
    }
  }
}

void CheckBackends(const ServiceConfig& service, const std::string& path,
                   const std::set<std::string>& backends,
                   ConfigurationErrors& faults) {
  for (size_t i = 0; i < service.backends.size(); ++i) {
    if (!backends.contains(service.backends[i])) {
      faults.push_back({Join(path + "/backends", i),
                        "names a backend server that is not listed"});
    }
  }
}

void CheckServices(const Configuration& configuration,
                   ConfigurationErrors& faults) {
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
    const std::string path = Join("/services", i);
    const bool plain = service.kind == ServiceKind::kPlain;
    if (!plain && !service.backends.empty()) {
      faults.push_back({path + "/backends", "is for plain services only"});
    }
    if (plain && !service.engines.empty()) {
      faults.push_back({path + "/engines", "is for completions only"});
    }
    CheckEngines(service, path, models, faults);
    CheckBackends(service, path, backends, faults);
  }
}

void CheckPresets(const Configuration& configuration,
                  ConfigurationErrors& faults) {
  if (configuration.presets.empty()) {
    faults.push_back({"/presets", "must list at least one preset"});
  }
  bool found = false;
  for (const Preset& preset : configuration.presets) {
    found = found || preset.name == configuration.initial_preset;
  }
  if (!found) {
    faults.push_back({"/initial_preset", "names a preset that is not listed"});
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
    return tl::unexpected(ConfigurationErrors{{"", "is not JSON"}});
  }
  ConfigurationErrors faults;
  JsonFields fields(value, "", faults);
  auto configuration = std::make_shared<Configuration>();
  configuration->engines =
      ReadList(fields, "engines", Presence::kOptional, ReadEngine);
  configuration->backends =
      ReadList(fields, "backends", Presence::kOptional, ReadBackend);
  configuration->services =
      ReadList(fields, "services", Presence::kRequired, ReadService);
  configuration->presets =
      ReadList(fields, "presets", Presence::kRequired, ReadPreset);
  configuration->initial_preset = fields.Text("initial_preset");
  fields.RejectUnknown();
  CheckDuplicates(*configuration, faults);
  CheckServices(*configuration, faults);
  CheckPresets(*configuration, faults);
  if (!faults.empty()) return tl::unexpected(std::move(faults));
  return configuration;
}

}  // namespace peridotshelf::control
