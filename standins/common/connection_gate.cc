#include "standins/common/connection_gate.h"

#include <unordered_set>
#include <utility>
#include <vector>

namespace skylarkcroft::standin {

struct connection_gate::shared_state {
  uint64_t last_silent = 0;
  /// Exchanges that have not ended. Those of silent connections are kept here
  /// after the handler has let go of them.
  std::unordered_set<http_exchange_ptr> open;
};

class connection_gate::gated_exchange final : public http_exchange {
 public:
  gated_exchange(http_exchange_ptr inner, std::shared_ptr<shared_state> state)
      : inner_(std::move(inner)), state_(std::move(state)) {
    state_->open.insert(inner_);
  }
  ~gated_exchange() override {
    if (!Silent() || inner_->closed()) {
      state_->open.erase(inner_);
    }
  }
  gated_exchange(const gated_exchange&) = delete;
  gated_exchange& operator=(const gated_exchange&) = delete;

  const http_request& request() const override { return inner_->request(); }

  void Reply(const http_response& response) override {
    if (!Silent()) {
      inner_->Reply(response);
    }
  }

  void Start(int status, const http_headers& headers) override {
    if (!Silent()) {
      inner_->Start(status, headers);
    }
  }

  void Write(std::string_view data) override {
    if (!Silent()) {
      inner_->Write(data);
    }
  }

  void End() override {
    if (!Silent()) {
      inner_->End();
    }
  }

  void Abort() override {
    if (!Silent()) {
      inner_->Abort();
    }
  }

  bool closed() const override { return inner_->closed(); }

  size_t pending_bytes() const override { return inner_->pending_bytes(); }

  uint64_t connection_number() const override {
    return inner_->connection_number();
  }

  void OnPeerGone(std::function<void()> call) override {
    // The caller may destroy this exchange, and with it the stored call.
    inner_->OnPeerGone([state = std::weak_ptr<shared_state>(state_),
                        inner = std::weak_ptr<http_exchange>(inner_),
                        call = std::move(call)] {
      const auto open = state.lock();
      const auto gone = inner.lock();
      if (call) {
        call();
      }
      if (open != nullptr) {
        open->open.erase(gone);
      }
    });
  }

 private:
  [[nodiscard]] bool Silent() const {
    return inner_->connection_number() <= state_->last_silent;
  }

  http_exchange_ptr inner_;
  std::shared_ptr<shared_state> state_;
};

connection_gate::connection_gate() : state_(std::make_shared<shared_state>()) {}

connection_gate::~connection_gate() { AbortAll(); }

http_exchange_ptr connection_gate::Wrap(const http_exchange_ptr& exchange) {
  auto gated = std::make_shared<gated_exchange>(exchange, state_);
  gated->OnPeerGone({});
  return gated;
}

void connection_gate::Silence(uint64_t last_connection) {
  state_->last_silent = last_connection;
}

void connection_gate::AbortAll() {
  const std::vector<http_exchange_ptr> open(state_->open.begin(),
                                            state_->open.end());
  for (const http_exchange_ptr& exchange : open) {
    exchange->Abort();
  }
  state_->open.clear();
}

}  // namespace skylarkcroft::standin
