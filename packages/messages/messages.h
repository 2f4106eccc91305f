/**
 * The messages package: the frames that nodes exchange as plain structs, and their encoding as
 * protobuf envelopes. It performs no input or output.
 *
 * Dependencies: model, membership (payloads), protobuf (generated code is committed in generated/).
 */
#pragma once

#include "messages/codec/framecodec.h"
#include "messages/frames/frames.h"
