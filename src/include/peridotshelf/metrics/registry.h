/// Registry of the metrics of a process, rendered as Prometheus text.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <shared_mutex>
#include <string>
#include <string_view>
#include <vector>

#include "peridotshelf/metrics/instruments.h"

namespace peridotshelf::metrics {

/// Name and help text of a metric, and the label that distinguishes its series;
/// an empty label means a single series.
struct MetricInfo {
  std::string name;
  std::string help;
  std::string label;
};

/// One value of a gauge that is read by a callback.
struct Sample {
  std::string label_value;
  double value = 0;
};

/// All series of a metric, by label value. Series are never removed, so
/// references to them are valid for the lifetime of the family.
template <class M>
class Family {
 public:
  using Factory = std::function<std::unique_ptr<M>()>;

  Family(MetricInfo info, Factory factory)
      : m_info(std::move(info)), m_factory(std::move(factory)) {}

  /// Returns the series for `label_value`, which is created on first use.
  M& With(std::string_view label_value) {
    {
      std::shared_lock lock(m_mutex);
      auto it = m_series.find(label_value);
      if (it != m_series.end()) return *it->second;
    }
    std::scoped_lock lock(m_mutex);
    auto it = m_series.find(label_value);
    if (it == m_series.end()) {
      it = m_series.emplace(std::string(label_value), m_factory()).first;
    }
    return *it->second;
  }
  /// Returns the single series of a metric without a label.
  M& WithoutLabel() { return With(""); }
  /// Runs `visit(label_value, series)` for each series.
  template <class F>
  void ForEach(F&& visit) const {
    std::shared_lock lock(m_mutex);
    for (const auto& [label_value, series] : m_series) {
      visit(label_value, *series);
    }
  }
  const MetricInfo& info() const { return m_info; }

 private:
  MetricInfo m_info;
  Factory m_factory;
  mutable std::shared_mutex m_mutex;
  std::map<std::string, std::unique_ptr<M>, std::less<>> m_series;
};

/// Holds the metrics of one process.
class Registry {
 public:
  Registry();
  ~Registry();
  Registry(const Registry&) = delete;
  Registry& operator=(const Registry&) = delete;

  /// Adds a metric. The reference is valid for the lifetime of the registry.
  Family<Counter>& AddCounter(MetricInfo info);
  Family<Gauge>& AddGauge(MetricInfo info);
  Family<Histogram>& AddHistogram(MetricInfo info, std::vector<double> bounds);
  /// Adds a gauge. Each rendering of the metrics calls `read` for its values.
  void AddCallbackGauge(MetricInfo info,
                        std::function<std::vector<Sample>()> read);

  /// Returns all metrics in the Prometheus text format, in the order in which
  /// they were added.
  std::string Render() const;
  /// Returns the names of all metrics, in the order in which they were added.
  std::vector<std::string> ListNames() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

/// Content type of the text that `Registry::Render` returns.
inline constexpr std::string_view kContentType =
    "text/plain; version=0.0.4; charset=utf-8";

}  // namespace peridotshelf::metrics
