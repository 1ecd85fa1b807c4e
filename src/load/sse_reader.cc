#include "peridotshelf/load/sse_reader.h"

namespace peridotshelf::load {

void SseReader::Append(std::string_view bytes) {
  m_pending.append(bytes);
  size_t begin = 0;
  for (size_t end = m_pending.find('\n'); end != std::string::npos;
       end = m_pending.find('\n', begin)) {
    ReadLine(std::string_view{m_pending}.substr(begin, end - begin));
    begin = end + 1;
  }
  m_pending.erase(0, begin);
}

void SseReader::ReadLine(std::string_view line) {
  constexpr std::string_view kEvent = "event: ";
  constexpr std::string_view kData = "data: ";
  if (line.ends_with('\r')) line.remove_suffix(1);
  if (line.starts_with(kEvent)) {
    m_type = line.substr(kEvent.size());
  } else if (line.starts_with(kData)) {
    m_data = line.substr(kData.size());
  } else if (line.empty() && !m_data.empty()) {
    if (m_type.empty()) m_type = "message";
    m_on_event({m_type, m_data});
    m_type.clear();
    m_data.clear();
  }
}

}  // namespace peridotshelf::load
