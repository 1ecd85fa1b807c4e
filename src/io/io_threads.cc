#include "peridotshelf/io/io_threads.h"

#include <algorithm>
#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <thread>
#include <vector>

#include "peridotshelf/events/guard.h"

namespace peridotshelf::io {

struct IoThreads::Impl {
  asio::io_context context;
  asio::executor_work_guard<asio::io_context::executor_type> guard{
      context.get_executor()};
  std::vector<std::thread> threads;

  /// Runs tasks until the context is stopped. A task that throws ends alone.
  void Run() {
    while (!events::RunGuarded("io", [this] { context.run(); })) {
    }
  }
};

IoThreads::IoThreads(size_t threads) : m_impl(std::make_unique<Impl>()) {
  for (size_t i = 0; i < std::max<size_t>(threads, 1); ++i) {
    m_impl->threads.emplace_back([this] { m_impl->Run(); });
  }
}

IoThreads::~IoThreads() { Stop(); }

void IoThreads::Post(std::function<void()> task) {
  asio::post(m_impl->context, std::move(task));
}

void IoThreads::RunAfter(Duration delay, std::function<void()> task) {
  auto timer = std::make_shared<asio::steady_timer>(m_impl->context, delay);
  timer->async_wait(
      [timer, task = std::move(task)](const asio::error_code& error) {
        if (!error) task();
      });
}

void IoThreads::Stop() {
  m_impl->context.stop();
  for (std::thread& thread : m_impl->threads) {
    if (thread.joinable()) thread.join();
  }
  m_impl->threads.clear();
}

asio::io_context& IoThreads::context() { return m_impl->context; }

}  // namespace peridotshelf::io
