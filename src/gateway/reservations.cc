#include "reservations.h"

#include <utility>

#include "peridotshelf/events/log.h"
#include "peridotshelf/http/status.h"

namespace peridotshelf::gateway {
namespace {

using events::EventId;

/// The engine may still execute a request that has timed out.
constexpr Duration kRequestTimeout = std::chrono::milliseconds(600);
/// Renewals within the lifetime of a reservation. One renewal may be lost, and
/// a failed renewal is retried immediately.
constexpr int kRenewalsPerTtl = 2;
constexpr int kReleaseAttempts = 3;
/// An answer to an order states a few numbers.
constexpr size_t kMaxAnswerBytes = size_t{16} * 1024;
constexpr Duration kReleaseRetryDelay = std::chrono::milliseconds(400);

/// Sets the limits of an order. Its connection is its own: on a kept one a late
/// copy of a grant would be taken for the answer to the next order.
void SetLimits(http::ClientRequest& request) {
  request.timeout = kRequestTimeout;
  request.max_body_bytes = kMaxAnswerBytes;
  request.fresh_connection = true;
}

}  // namespace

struct Reservations::Group {
  std::shared_ptr<Shared> shared;
  std::string id;
  std::vector<std::string> addresses;
  int64_t tokens = 0;
  size_t pending_responses = 0;
  std::vector<std::string> refused_addresses;
  bool is_released = false;
  OnDone on_done;
};

void Reservations::SendReserve(const GroupPtr& group,
                               const std::string& address,
                               std::function<void(bool granted)> on_answer) {
  Shared& shared = *group->shared;
  http::ClientRequest request =
      shared.codec.write_reserve(address, group->id, group->tokens, shared.ttl);
  SetLimits(request);
  shared.client.Fetch(
      std::move(request), [group, address, on_answer = std::move(on_answer)](
                              Result<http::ClientResponse> response) {
        ReportState(group, address, response);
        const int status = response ? response->status : 0;
        group->shared->threads.Post([group, address, on_answer, status] {
          events::Log(status == http::kOk ? EventId::kReservationGranted
                                          : EventId::kReservationRefused,
                      {{"reservation", group->id},
                       {"engine", address},
                       {"tokens", group->tokens},
                       {"status", status}});
          const bool was_released = group->is_released;
          on_answer(status == http::kOk || status == http::kAccepted);
          // The engine may have granted the reservation after the release.
          if (was_released) SendRelease(group, address, kReleaseAttempts);
        });
      });
}

void Reservations::ReportState(const GroupPtr& group,
                               const std::string& address,
                               const Result<http::ClientResponse>& response) {
  Shared& shared = *group->shared;
  if (!response || response->status == http::kMisdirected) return;
  const AnswerHead head =
      shared.codec.read_order_answer(response->status, response->headers);
  shared.threads.Post(
      [group, address, head] { group->shared->on_state(address, head); });
}

void Reservations::Reserve(const std::string& id,
                           std::span<const std::string> addresses,
                           int64_t tokens, OnDone on_done) {
  auto group = std::make_shared<Group>();
  group->shared = m_shared;
  group->id = id;
  group->addresses.assign(addresses.begin(), addresses.end());
  group->tokens = tokens;
  group->pending_responses = addresses.size();
  group->on_done = std::move(on_done);
  m_groups[id] = group;
  for (const std::string& address : group->addresses) {
    SendReserve(group, address, [this, group, address](bool granted) {
      if (!granted) group->refused_addresses.push_back(address);
      if (--group->pending_responses > 0 || group->is_released) return;
      if (group->refused_addresses.empty()) {
        ScheduleRenewal(group);
      } else {
        Release(group->id);
      }
      std::exchange(group->on_done, nullptr)(group->refused_addresses);
    });
  }
}

void Reservations::ScheduleRenewal(const GroupPtr& group) {
  Shared& shared = *group->shared;
  shared.threads.RunAfter(shared.ttl / kRenewalsPerTtl, [group] {
    if (group->is_released) return;
    for (const std::string& address : group->addresses) {
      SendReserve(group, address, [group, address](bool granted) {
        if (granted || group->is_released) return;
        SendReserve(group, address, [](bool /*granted*/) {});
      });
    }
    ScheduleRenewal(group);
  });
}

void Reservations::Release(const std::string& id) {
  const auto found = m_groups.find(id);
  if (found == m_groups.end()) return;
  const GroupPtr group = found->second;
  m_groups.erase(found);
  group->is_released = true;
  for (const std::string& address : group->addresses) {
    SendRelease(group, address, kReleaseAttempts);
  }
}

void Reservations::SendRelease(const GroupPtr& group,
                               const std::string& address, int attempts) {
  Shared& shared = *group->shared;
  http::ClientRequest request = shared.codec.write_release(address, group->id);
  SetLimits(request);
  shared.client.Fetch(
      std::move(request),
      [group, address, attempts](const Result<http::ClientResponse>& response) {
        ReportState(group, address, response);
        if (response || attempts <= 1) return;
        group->shared->threads.RunAfter(
            kReleaseRetryDelay, [group, address, attempts] {
              SendRelease(group, address, attempts - 1);
            });
      });
}

}  // namespace peridotshelf::gateway
