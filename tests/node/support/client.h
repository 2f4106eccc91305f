#pragma once

#include "adapters/http/httpconnection.h"

#include <cstdint>
#include <string>
#include <vector>

/** A request of a test client. */
struct TestRequest
{
    std::string m_method = "GET";
    std::string m_target = "/";
    std::vector<chervilmount::adapters::HttpField> m_fields;
    std::string m_body;
    /** Sends the body without its length. */
    bool m_chunked = false;
};

/** The response to a test client. */
struct TestResponse
{
    /** 0 if no response was received. */
    int m_status = 0;
    chervilmount::adapters::HttpResponseHead m_head;
    std::string m_body;
    /** False if the response was truncated. */
    bool m_complete = false;
};

/** Sends one request on a new connection; waits up to 10 s. */
chervilmount::adapters::Task<TestResponse> sendRequest(std::string address, TestRequest request);
