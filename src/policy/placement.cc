#include "peridotshelf/policy/placement.h"

#include <utility>

#include "policy/engine_pool.h"

namespace peridotshelf::policy {

Placement::Placement(FailureDomain local_domain, PlacementFeatures features)
    : m_local_domain(std::move(local_domain)), m_features(features) {}

Placement::~Placement() = default;

void Placement::Update(std::span<const EngineLocation> engines,
                       const control::Preset& preset) {
  std::map<std::string, std::vector<EngineLocation>> by_model;
  for (const EngineLocation& engine : engines) {
    by_model[engine.config.model].push_back(engine);
  }
  std::scoped_lock lock(m_mutex);
  m_pool_by_engine.clear();
  std::erase_if(m_pools, [&by_model](const auto& item) {
    return !by_model.contains(item.first);
  });
  for (auto& [model, model_engines] : by_model) {
    std::shared_ptr<EnginePool>& pool = m_pools[model];
    if (!pool) pool = std::make_shared<EnginePool>(m_local_domain, m_features);
    for (const EngineLocation& engine : model_engines) {
      m_pool_by_engine[engine.config.id] = pool;
    }
    pool->Update(std::move(model_engines), preset);
  }
}

Result<PlacementResult> Placement::Place(const PlacementRequest& request,
                                         TimePoint now,
                                         std::mt19937_64& random) {
  std::shared_ptr<EnginePool> pool;
  {
    std::shared_lock lock(m_mutex);
    auto it = m_pools.find(request.model);
    if (it == m_pools.end()) {
      return Fail(ErrorCode::kUnknownModel, request.model);
    }
    pool = it->second;
  }
  return pool->Place(request, now, random);
}

std::shared_ptr<EnginePool> Placement::FindPool(const EngineId& engine) const {
  std::shared_lock lock(m_mutex);
  auto it = m_pool_by_engine.find(engine);
  return it == m_pool_by_engine.end() ? nullptr : it->second;
}

void Placement::OnLoad(const EngineId& engine, const EngineLoad& load,
                       TimePoint measured_at) {
  if (auto pool = FindPool(engine)) pool->OnLoad(engine, load, measured_at);
}

void Placement::OnRefused(const EngineId& engine, TimePoint now,
                          Duration retry_after) {
  if (auto pool = FindPool(engine)) pool->OnRefused(engine, now, retry_after);
}

}  // namespace peridotshelf::policy
