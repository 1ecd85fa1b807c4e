#include "reservations.h"

#include <utility>

#include "peridotshelf/events/log.h"
#include "peridotshelf/http/status.h"

namespace peridotshelf::gateway {
namespace {

using events::EventId;

/// An order that is not answered within this time may still be carried out.
constexpr Duration kOrderTimeout = std::chrono::milliseconds(600);
/// Renewals in the time that a reservation holds: one may be lost, and it is
/// repeated at once.
constexpr int kRenewalsPerHold = 2;
constexpr int kReleaseTries = 3;
constexpr Duration kReleaseRetryPause = std::chrono::milliseconds(400);

}  // namespace

struct Reservations::Group {
  std::shared_ptr<Shared> shared;
  std::string id;
  std::vector<std::string> addresses;
  int64_t tokens = 0;
  size_t unanswered = 0;
  std::vector<std::string> refused;
  bool released = false;
  OnDone on_done;
};

void Reservations::Ask(const GroupPtr& group, const std::string& address,
                       std::function<void(bool granted)> on_answer) {
  Shared& shared = *group->shared;
  http::ClientRequest request = shared.codec.write_reserve(
      address, group->id, group->tokens, shared.hold);
  request.timeout = kOrderTimeout;
  shared.client.Fetch(
      std::move(request), [group, address, on_answer = std::move(on_answer)](
                              Result<http::ClientResponse> response) {
        const int status = response ? response->status : 0;
        group->shared->threads.Post([group, address, on_answer, status] {
          events::Log(status == http::kOk ? EventId::kReservationGranted
                                          : EventId::kReservationRefused,
                      {{"reservation", group->id},
                       {"engine", address},
                       {"tokens", group->tokens},
                       {"status", status}});
          on_answer(status == http::kOk || status == http::kAccepted);
          // The order may have been carried out after the release.
          if (group->released) GiveBack(group, address, kReleaseTries);
        });
      });
}

void Reservations::Reserve(const std::string& id,
                           std::span<const std::string> addresses,
                           int64_t tokens, OnDone on_done) {
  auto group = std::make_shared<Group>();
  group->shared = m_shared;
  group->id = id;
  group->addresses.assign(addresses.begin(), addresses.end());
  group->tokens = tokens;
  group->unanswered = addresses.size();
  group->on_done = std::move(on_done);
  m_groups[id] = group;
  for (const std::string& address : group->addresses) {
    Ask(group, address, [this, group, address](bool granted) {
      if (!granted) group->refused.push_back(address);
      if (--group->unanswered > 0 || group->released) return;
      if (group->refused.empty()) {
        Renew(group);
      } else {
        Release(group->id);
      }
      std::exchange(group->on_done, nullptr)(group->refused);
    });
  }
}

void Reservations::Renew(const GroupPtr& group) {
  Shared& shared = *group->shared;
  shared.threads.RunAfter(shared.hold / kRenewalsPerHold, [group] {
    if (group->released) return;
    for (const std::string& address : group->addresses) {
      Ask(group, address, [group, address](bool granted) {
        if (granted || group->released) return;
        Ask(group, address, [](bool /*granted*/) {});
      });
    }
    Renew(group);
  });
}

void Reservations::Release(const std::string& id) {
  const auto found = m_groups.find(id);
  if (found == m_groups.end()) return;
  const GroupPtr group = found->second;
  m_groups.erase(found);
  group->released = true;
  for (const std::string& address : group->addresses) {
    GiveBack(group, address, kReleaseTries);
  }
}

void Reservations::GiveBack(const GroupPtr& group, const std::string& address,
                            int tries) {
  Shared& shared = *group->shared;
  http::ClientRequest request = shared.codec.write_release(address, group->id);
  request.timeout = kOrderTimeout;
  shared.client.Fetch(
      std::move(request),
      [group, address, tries](const Result<http::ClientResponse>& response) {
        if (response || tries <= 1) return;
        group->shared->threads.RunAfter(
            kReleaseRetryPause,
            [group, address, tries] { GiveBack(group, address, tries - 1); });
      });
}

}  // namespace peridotshelf::gateway
