/// The metrics of one process, rendered as Prometheus text.
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

/// Name and meaning of one metric, and the label that tells its series apart;
/// an empty label means a single series.
struct MetricInfo {
  std::string name;
  std::string help;
  std::string label;
};

/// One value of a metric that is read when asked for.
struct Sample {
  std::string label_value;
  double value = 0;
};

/// All series of one metric, by label value. Series are never removed, so
/// references stay valid as long as the family.
template <class M>
class Family {
 public:
  using Make = std::function<std::unique_ptr<M>()>;

  Family(MetricInfo info, Make make)
      : m_info(std::move(info)), m_make(std::move(make)) {}

  /// The series for `label_value`, made on first use.
  M& With(std::string_view label_value) {
    {
      std::shared_lock lock(m_mutex);
      auto it = m_series.find(label_value);
      if (it != m_series.end()) return *it->second;
    }
    std::scoped_lock lock(m_mutex);
    auto it = m_series.find(label_value);
    if (it == m_series.end()) {
      it = m_series.emplace(std::string(label_value), m_make()).first;
    }
    return *it->second;
  }
  /// The single series of a metric without label.
  M& Only() { return With(""); }
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
  Make m_make;
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

  /// Each adds a metric; the reference stays valid as long as the registry.
  Family<Counter>& AddCounter(MetricInfo info);
  Family<Gauge>& AddGauge(MetricInfo info);
  Family<Histogram>& AddHistogram(MetricInfo info, std::vector<double> bounds);
  /// A gauge whose values `read` gives when the metrics are rendered.
  void AddReader(MetricInfo info, std::function<std::vector<Sample>()> read);

  /// All metrics in Prometheus's text format, by order of adding.
  std::string Render() const;
  /// The names of all metrics, by order of adding.
  std::vector<std::string> Names() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

/// The content type of `Registry::Render`.
inline constexpr std::string_view kContentType =
    "text/plain; version=0.0.4; charset=utf-8";

}  // namespace peridotshelf::metrics
