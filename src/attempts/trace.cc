#include "peridotshelf/attempts/trace.h"

#include <array>
#include <sstream>

namespace peridotshelf::attempts {
namespace {

constexpr std::array<std::string_view, 14> kKindNames = {
    "candidate", "no_candidate",  "reserved",        "queued",  "granted",
    "refused",   "started",       "disconnected",    "resumed", "cancelled",
    "failed",    "retry_planned", "retry_forbidden", "answered"};

}  // namespace

std::string_view ToString(TraceKind kind) {
  return kKindNames[static_cast<size_t>(kind)];
}

std::string FormatTrace(const RequestTrace& trace) {
  std::ostringstream out;
  out << "request " << trace.request << " service " << trace.service << "\n";
  for (const TraceStep& step : trace.steps) {
    out << "  +" << ToMilliseconds(step.at) << " ms " << ToString(step.kind);
    if (step.attempt >= 0) out << " attempt " << step.attempt;
    if (!step.engine.empty()) out << " engine " << step.engine;
    if (step.code) out << " code " << peridotshelf::ToString(*step.code);
    if (!step.detail.empty()) out << ": " << step.detail;
    out << "\n";
  }
  return out.str();
}

void TraceRing::Add(RequestTrace trace) {
  std::scoped_lock lock(m_mutex);
  auto existing = m_index.find(trace.request);
  if (existing != m_index.end()) {
    m_traces.erase(existing->second);
    m_index.erase(existing);
  }
  m_traces.push_back(std::move(trace));
  m_index.emplace(m_traces.back().request, std::prev(m_traces.end()));
  if (m_traces.size() <= m_capacity) return;
  m_index.erase(m_traces.front().request);
  m_traces.pop_front();
}

std::optional<RequestTrace> TraceRing::Find(const RequestId& request) const {
  std::scoped_lock lock(m_mutex);
  auto it = m_index.find(request);
  if (it == m_index.end()) return std::nullopt;
  return *it->second;
}

size_t TraceRing::size() const {
  std::scoped_lock lock(m_mutex);
  return m_traces.size();
}

}  // namespace peridotshelf::attempts
