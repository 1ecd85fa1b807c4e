#include "peridotshelf/metrics/registry.h"

#include <charconv>
#include <deque>
#include <variant>

#include "peridotshelf/base/text.h"

namespace peridotshelf::metrics {
namespace {

struct CallbackGauge {
  MetricInfo info;
  std::function<std::vector<Sample>()> read;
};

using Metric = std::variant<std::unique_ptr<Family<Counter>>,
                            std::unique_ptr<Family<Gauge>>,
                            std::unique_ptr<Family<Histogram>>, CallbackGauge>;

std::string FormatNumber(double value) {
  char buffer[32];
  const auto end = std::to_chars(std::begin(buffer), std::end(buffer), value);
  return {buffer, end.ptr};
}

/// The format asks for UTF-8, with backslashes, quotes and line ends escaped.
std::string EscapeLabel(std::string_view text) {
  const std::string valid =
      IsUtf8(text) ? std::string(text) : EscapeBytes(text);
  std::string escaped;
  for (const char c : valid) {
    if (c == '\\' || c == '"') escaped += '\\';
    if (c == '\n') {
      escaped += "\\n";
    } else {
      escaped += c;
    }
  }
  return escaped;
}

/// Writes metrics in the Prometheus text format.
class TextWriter {
 public:
  void Write(const std::unique_ptr<Family<Counter>>& family) {
    WriteHeader(family->info(), "counter");
    family->ForEach([&](const std::string& label, const Counter& series) {
      WriteLine(family->info(), "", label, "",
                static_cast<double>(series.Value()));
    });
  }
  void Write(const std::unique_ptr<Family<Gauge>>& family) {
    WriteHeader(family->info(), "gauge");
    family->ForEach([&](const std::string& label, const Gauge& series) {
      WriteLine(family->info(), "", label, "",
                static_cast<double>(series.Value()));
    });
  }
  void Write(const std::unique_ptr<Family<Histogram>>& family) {
    WriteHeader(family->info(), "histogram");
    family->ForEach([&](const std::string& label, const Histogram& series) {
      WriteBuckets(family->info(), label, series.Snapshot());
    });
  }
  void Write(const CallbackGauge& gauge) {
    WriteHeader(gauge.info, "gauge");
    for (const Sample& sample : gauge.read()) {
      WriteLine(gauge.info, "", sample.label_value, "", sample.value);
    }
  }
  std::string TakeText() { return std::move(m_text); }

 private:
  void WriteHeader(const MetricInfo& info, std::string_view type) {
    m_text.append("# HELP ").append(info.name).append(" ").append(info.help);
    m_text.append("\n# TYPE ").append(info.name).append(" ").append(type);
    m_text += '\n';
  }
  void WriteBuckets(const MetricInfo& info, const std::string& label,
                    const HistogramSnapshot& snapshot) {
    uint64_t count_below = 0;
    for (size_t i = 0; i < snapshot.bounds.size(); ++i) {
      count_below += snapshot.counts[i];
      WriteLine(info, "_bucket", label, FormatNumber(snapshot.bounds[i]),
                static_cast<double>(count_below));
    }
    WriteLine(info, "_bucket", label, "+Inf",
              static_cast<double>(snapshot.total));
    WriteLine(info, "_sum", label, "", snapshot.sum);
    WriteLine(info, "_count", label, "", static_cast<double>(snapshot.total));
  }
  void WriteLine(const MetricInfo& info, std::string_view suffix,
                 const std::string& label_value, std::string_view bound,
                 double value) {
    std::string labels;
    if (!info.label.empty()) {
      labels += info.label + "=\"" + EscapeLabel(label_value) + "\"";
    }
    if (!bound.empty()) {
      if (!labels.empty()) labels += ',';
      labels.append("le=\"").append(bound).append("\"");
    }
    m_text.append(info.name).append(suffix);
    if (!labels.empty()) m_text.append("{").append(labels).append("}");
    m_text.append(" ").append(FormatNumber(value)).append("\n");
  }

  std::string m_text;
};

const MetricInfo& GetInfo(const CallbackGauge& gauge) { return gauge.info; }
template <class M>
const MetricInfo& GetInfo(const std::unique_ptr<Family<M>>& family) {
  return family->info();
}

template <class M>
std::unique_ptr<Family<M>> MakeFamily(MetricInfo info) {
  auto family = std::make_unique<Family<M>>(
      std::move(info), [] { return std::make_unique<M>(); });
  // A metric without a label is exported as 0 before its first update.
  if (family->info().label.empty()) family->WithoutLabel();
  return family;
}

}  // namespace

struct Registry::Impl {
  mutable std::mutex mutex;
  std::deque<Metric> metrics;

  template <class M>
  M& Add(std::unique_ptr<M> metric) {
    M& added = *metric;
    std::scoped_lock lock(mutex);
    metrics.emplace_back(std::move(metric));
    return added;
  }
};

Registry::Registry() : m_impl(std::make_unique<Impl>()) {}
Registry::~Registry() = default;

Family<Counter>& Registry::AddCounter(MetricInfo info) {
  return m_impl->Add(MakeFamily<Counter>(std::move(info)));
}

Family<Gauge>& Registry::AddGauge(MetricInfo info) {
  return m_impl->Add(MakeFamily<Gauge>(std::move(info)));
}

Family<Histogram>& Registry::AddHistogram(MetricInfo info,
                                          std::vector<double> bounds) {
  auto make = [bounds = std::move(bounds)] {
    return std::make_unique<Histogram>(bounds);
  };
  return m_impl->Add(
      std::make_unique<Family<Histogram>>(std::move(info), std::move(make)));
}

void Registry::AddCallbackGauge(MetricInfo info,
                                std::function<std::vector<Sample>()> read) {
  std::scoped_lock lock(m_impl->mutex);
  m_impl->metrics.emplace_back(CallbackGauge{std::move(info), std::move(read)});
}

std::string Registry::Render() const {
  std::scoped_lock lock(m_impl->mutex);
  TextWriter writer;
  for (const Metric& metric : m_impl->metrics) {
    std::visit([&writer](const auto& family) { writer.Write(family); }, metric);
  }
  return writer.TakeText();
}

std::vector<std::string> Registry::ListNames() const {
  std::scoped_lock lock(m_impl->mutex);
  std::vector<std::string> names;
  for (const Metric& metric : m_impl->metrics) {
    std::visit(
        [&names](const auto& family) { names.push_back(GetInfo(family).name); },
        metric);
  }
  return names;
}

}  // namespace peridotshelf::metrics
