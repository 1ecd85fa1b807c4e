#include "peridotshelf/metrics/registry.h"

#include <charconv>
#include <deque>
#include <variant>

namespace peridotshelf::metrics {
namespace {

struct Reader {
  MetricInfo info;
  std::function<std::vector<Sample>()> read;
};

using Metric = std::variant<std::unique_ptr<Family<Counter>>,
                            std::unique_ptr<Family<Gauge>>,
                            std::unique_ptr<Family<Histogram>>, Reader>;

std::string FormatNumber(double value) {
  char buffer[32];
  const auto end = std::to_chars(std::begin(buffer), std::end(buffer), value);
  return {buffer, end.ptr};
}

std::string EscapeLabel(std::string_view text) {
  std::string escaped;
  for (const char c : text) {
    if (c == '\\' || c == '"') escaped += '\\';
    if (c == '\n') {
      escaped += "\\n";
    } else {
      escaped += c;
    }
  }
  return escaped;
}

/// Writes metrics in Prometheus's text format.
class TextWriter {
 public:
  void Write(const std::unique_ptr<Family<Counter>>& family) {
    Head(family->info(), "counter");
    family->ForEach([&](const std::string& label, const Counter& series) {
      Line(family->info(), "", label, "", static_cast<double>(series.Value()));
    });
  }
  void Write(const std::unique_ptr<Family<Gauge>>& family) {
    Head(family->info(), "gauge");
    family->ForEach([&](const std::string& label, const Gauge& series) {
      Line(family->info(), "", label, "", static_cast<double>(series.Value()));
    });
  }
  void Write(const std::unique_ptr<Family<Histogram>>& family) {
    Head(family->info(), "histogram");
    family->ForEach([&](const std::string& label, const Histogram& series) {
      WriteBuckets(family->info(), label, series.Snapshot());
    });
  }
  void Write(const Reader& reader) {
    Head(reader.info, "gauge");
    for (const Sample& sample : reader.read()) {
      Line(reader.info, "", sample.label_value, "", sample.value);
    }
  }
  std::string Take() { return std::move(m_text); }

 private:
  void Head(const MetricInfo& info, std::string_view type) {
    m_text.append("# HELP ").append(info.name).append(" ").append(info.help);
    m_text.append("\n# TYPE ").append(info.name).append(" ").append(type);
    m_text += '\n';
  }
  void WriteBuckets(const MetricInfo& info, const std::string& label,
                    const HistogramSnapshot& snapshot) {
    uint64_t below = 0;
    for (size_t i = 0; i < snapshot.bounds.size(); ++i) {
      below += snapshot.counts[i];
      Line(info, "_bucket", label, FormatNumber(snapshot.bounds[i]),
           static_cast<double>(below));
    }
    Line(info, "_bucket", label, "+Inf", static_cast<double>(snapshot.total));
    Line(info, "_sum", label, "", snapshot.sum);
    Line(info, "_count", label, "", static_cast<double>(snapshot.total));
  }
  void Line(const MetricInfo& info, std::string_view suffix,
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

const MetricInfo& InfoOf(const Reader& reader) { return reader.info; }
template <class M>
const MetricInfo& InfoOf(const std::unique_ptr<Family<M>>& family) {
  return family->info();
}

template <class M>
std::unique_ptr<Family<M>> MakeFamily(MetricInfo info) {
  auto family = std::make_unique<Family<M>>(
      std::move(info), [] { return std::make_unique<M>(); });
  // A metric without label is shown from the start, as 0.
  if (family->info().label.empty()) family->Only();
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

void Registry::AddReader(MetricInfo info,
                         std::function<std::vector<Sample>()> read) {
  std::scoped_lock lock(m_impl->mutex);
  m_impl->metrics.emplace_back(Reader{std::move(info), std::move(read)});
}

std::string Registry::Render() const {
  std::scoped_lock lock(m_impl->mutex);
  TextWriter writer;
  for (const Metric& metric : m_impl->metrics) {
    std::visit([&writer](const auto& family) { writer.Write(family); }, metric);
  }
  return writer.Take();
}

std::vector<std::string> Registry::Names() const {
  std::scoped_lock lock(m_impl->mutex);
  std::vector<std::string> names;
  for (const Metric& metric : m_impl->metrics) {
    std::visit(
        [&names](const auto& family) { names.push_back(InfoOf(family).name); },
        metric);
  }
  return names;
}

}  // namespace peridotshelf::metrics
