#include <algorithm>
#include <cmath>
#include <fstream>
#include <set>
#include <sstream>
#include <thread>

#include "peridotshelf/metrics/daemon_metrics.h"
#include "peridotshelf/testing/test.h"

namespace peridotshelf::metrics {
namespace {

bool Contains(const std::string& text, std::string_view part) {
  return text.find(part) != std::string::npos;
}

class HistogramTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HistogramTest);
  CPPUNIT_TEST(Observe_ValueOnBound_CountsInUpperBucket);
  CPPUNIT_TEST(Quantile_AnyValues_IsWithinOneBucket);
  CPPUNIT_TEST(Quantile_Empty_IsZero);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Observe_ValueOnBound_CountsInUpperBucket() {
    Histogram histogram(std::vector<double>{1, 2, 4});
    for (const double value : {0.5, 1.0, 3.0, 4.0, 100.0}) {
      histogram.Observe(value);
    }
    const HistogramSnapshot snapshot = histogram.Snapshot();
    CPPUNIT_ASSERT((snapshot.counts == std::vector<uint64_t>{1, 1, 1, 2}));
    CPPUNIT_ASSERT_EQUAL(uint64_t{5}, snapshot.total);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(108.5, snapshot.sum, 1e-9);
  }
  void Quantile_AnyValues_IsWithinOneBucket() {
    testing::CheckProperty("a quantile is within one bucket", [] {
      constexpr double kGrowth = 1.1;
      auto values = *rc::gen::nonEmpty(rc::gen::container<std::vector<double>>(
          rc::gen::map(rc::gen::inRange(1, 1'000'000),
                       [](int v) { return v / 1000.0; })));
      Histogram histogram(GeometricBounds(0.001, 1000, kGrowth));
      for (const double value : values) histogram.Observe(value);
      std::sort(values.begin(), values.end());
      for (const double q : {0.5, 0.99}) {
        const auto rank = static_cast<size_t>(
            std::max(0.0, std::ceil(q * values.size()) - 1));
        const double estimate = histogram.Snapshot().Quantile(q);
        RC_ASSERT(estimate <= values[rank] * kGrowth * 1.0001);
        RC_ASSERT(estimate >= values[rank] / kGrowth * 0.9999);
      }
    });
  }
  void Quantile_Empty_IsZero() {
    const Histogram histogram(std::vector<double>{1, 2});
    CPPUNIT_ASSERT_EQUAL(0.0, histogram.Snapshot().Quantile(0.5));
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(HistogramTest);

class RegistryTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RegistryTest);
  CPPUNIT_TEST(Render_EachMetricType_IsPrometheusText);
  CPPUNIT_TEST(Render_LabelWithQuotes_IsEscaped);
  CPPUNIT_TEST(Render_LabelIsNotUtf8_IsEscaped);
  CPPUNIT_TEST(Counter_ManyThreads_LosesNothing);
  CPPUNIT_TEST(DaemonMetrics_EachName_IsInDocs);
  CPPUNIT_TEST(EngineMetrics_TwoEngines_ExportSamplesOfBoth);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Render_EachMetricType_IsPrometheusText() {
    Registry registry;
    registry.AddCounter({"c_total", "Counts.", "code"}).With("a").Add(3);
    registry.AddGauge({"g", "Gauges.", ""}).WithoutLabel().Add(-2);
    registry.AddHistogram({"h", "Sizes.", "class"}, {1, 2})
        .With("short")
        .Observe(1.5);
    registry.AddCallbackGauge({"r", "Reads.", ""}, [] {
      return std::vector<Sample>{{"", 0.25}};
    });
    CPPUNIT_ASSERT_EQUAL(
        std::string("# HELP c_total Counts.\n# TYPE c_total counter\n"
                    "c_total{code=\"a\"} 3\n"
                    "# HELP g Gauges.\n# TYPE g gauge\ng -2\n"
                    "# HELP h Sizes.\n# TYPE h histogram\n"
                    "h_bucket{class=\"short\",le=\"1\"} 0\n"
                    "h_bucket{class=\"short\",le=\"2\"} 1\n"
                    "h_bucket{class=\"short\",le=\"+Inf\"} 1\n"
                    "h_sum{class=\"short\"} 1.5\n"
                    "h_count{class=\"short\"} 1\n"
                    "# HELP r Reads.\n# TYPE r gauge\nr 0.25\n"),
        registry.Render());
  }
  void Render_LabelWithQuotes_IsEscaped() {
    Registry registry;
    registry.AddCounter({"c_total", "Counts.", "code"}).With("a\"\n\\").Add();
    CPPUNIT_ASSERT(
        Contains(registry.Render(), "c_total{code=\"a\\\"\\n\\\\\"} 1\n"));
  }
  // Guards against a label that makes the whole page unreadable.
  void Render_LabelIsNotUtf8_IsEscaped() {
    Registry registry;
    registry.AddCounter({"c_total", "Counts.", "code"}).With("a\xE9").Add();
    CPPUNIT_ASSERT(
        Contains(registry.Render(), "c_total{code=\"a\\\\xE9\"} 1\n"));
  }
  void Counter_ManyThreads_LosesNothing() {
    constexpr int kThreads = 12;
    constexpr int kAdds = 2000;
    Registry registry;
    Family<Counter>& family = registry.AddCounter({"c_total", "C.", "code"});
    std::vector<std::thread> threads;
    threads.reserve(kThreads);
    for (int i = 0; i < kThreads; ++i) {
      threads.emplace_back([&family] {
        for (int n = 0; n < kAdds; ++n) family.With("a").Add();
      });
    }
    for (std::thread& thread : threads) thread.join();
    CPPUNIT_ASSERT_EQUAL(uint64_t{kThreads * kAdds}, family.With("a").Value());
  }
  void EngineMetrics_TwoEngines_ExportSamplesOfBoth() {
    Registry registry;
    AddEngineMetrics(registry, [] {
      return std::vector<EngineSample>{{"a", 1, 2, 3}, {"b", 4, 5, 6}};
    });
    const std::string text = registry.Render();
    CPPUNIT_ASSERT(
        Contains(text, "peridotshelf_queued_requests{engine=\"b\"} 4\n"));
    CPPUNIT_ASSERT(Contains(text, "peridotshelf_holds{engine=\"a\"} 2\n"));
    CPPUNIT_ASSERT(
        Contains(text, "peridotshelf_held_tokens{engine=\"b\"} 6\n"));
  }
  void DaemonMetrics_EachName_IsInDocs() {
    Registry registry;
    const EntryMetrics entry(registry);
    AddEngineMetrics(registry, [] { return std::vector<EngineSample>(); });
    AddVersionMetric(registry, [] { return 0; });
    std::ifstream file(PERIDOTSHELF_SOURCE_DIR "/docs/OPERATIONS.md");
    std::stringstream page;
    page << file.rdbuf();
    for (const std::string& name : registry.ListNames()) {
      CPPUNIT_ASSERT_MESSAGE(name, Contains(page.str(), "| `" + name + "` |"));
    }
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(RegistryTest);

}  // namespace
}  // namespace peridotshelf::metrics
