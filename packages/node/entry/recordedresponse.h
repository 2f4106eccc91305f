#pragma once

#include "adapters/http/httpmessage.h"
#include "node/entry/callrunner.h"

#include <cstddef>
#include <optional>
#include <string>

namespace chervilmount::node {

/** A complete response of a once-only request. */
struct RecordedResponse
{
    adapters::HttpResponseHead m_head;
    std::string m_body;
};

/** Serialises a response for the claim row or the object store. */
std::string toBytes(const RecordedResponse &response);

/** Parses the output of toBytes(); returns nothing if it is malformed. */
std::optional<RecordedResponse> recordedResponseFromBytes(const std::string &bytes);

/** Records a response while it is streamed to the caller. */
class ResponseRecorder : public ResponseCopy
{
public:
    /** @param maximumBytes largest body that is recorded. */
    explicit ResponseRecorder(std::size_t maximumBytes);

    void start(const adapters::HttpResponseHead &head) override;
    void add(const std::string &data) override;

    /** @returns the response; nothing if its body was too large. */
    std::optional<RecordedResponse> take();

private:
    std::size_t m_maximumBytes;
    RecordedResponse m_response;
    bool m_overflowed = false;
};

} // namespace chervilmount::node
