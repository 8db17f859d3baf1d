# One static library for each package under src, flintglade_<name>. Headers are included by their path under src.
#
#   flintglade_package(core SOURCES broker.cpp counters.cpp PUBLIC flintglade_policy PRIVATE flintglade_log)
function(flintglade_package name)
  cmake_parse_arguments(PARSE_ARGV 1 arg "" "" "SOURCES;PUBLIC;PRIVATE")
  add_library(flintglade_${name} STATIC ${arg_SOURCES})
  target_include_directories(flintglade_${name} PUBLIC $<BUILD_INTERFACE:${PROJECT_SOURCE_DIR}/src>)
  target_link_libraries(flintglade_${name} PUBLIC ${arg_PUBLIC} PRIVATE ${arg_PRIVATE})
endfunction()

# The messages of proto/<file>.proto as a static library of this name. GRPC: with the services' stubs.
function(flintglade_proto_library target file)
  cmake_parse_arguments(PARSE_ARGV 2 arg "GRPC" "" "")
  set(generated ${PROJECT_BINARY_DIR}/proto)
  file(MAKE_DIRECTORY ${generated})
  set(sources ${generated}/${file}.pb.cc)
  set(headers ${generated}/${file}.pb.h)
  set(options --cpp_out=${generated})
  if(arg_GRPC)
    list(APPEND sources ${generated}/${file}.grpc.pb.cc)
    list(APPEND headers ${generated}/${file}.grpc.pb.h)
    list(APPEND options --grpc_out=${generated} --plugin=protoc-gen-grpc=${GRPC_CPP_PLUGIN})
  endif()
  add_custom_command(
    OUTPUT ${sources} ${headers}
    COMMAND protobuf::protoc -I ${PROJECT_SOURCE_DIR}/proto ${options} ${file}.proto
    DEPENDS ${PROJECT_SOURCE_DIR}/proto/${file}.proto)
  add_library(${target} STATIC ${sources})
  target_include_directories(${target} SYSTEM PUBLIC ${generated})
  target_link_libraries(${target} PUBLIC protobuf::libprotobuf)
  if(arg_GRPC)
    target_link_libraries(${target} PUBLIC gRPC::grpc++)
  endif()
endfunction()

# A GoogleTest program; each of its cases is a test of ctest.
#
#   flintglade_test(core_tests SOURCES broker_test.cpp LIBRARIES flintglade_core ENVIRONMENT RC_PARAMS=seed=7)
function(flintglade_test name)
  cmake_parse_arguments(PARSE_ARGV 1 arg "" "" "SOURCES;LIBRARIES;ENVIRONMENT")
  add_executable(${name} ${arg_SOURCES})
  target_include_directories(${name} PRIVATE ${PROJECT_SOURCE_DIR}/tests)
  target_link_libraries(${name} PRIVATE ${arg_LIBRARIES} GTest::gtest_main)
  if(arg_ENVIRONMENT)
    gtest_discover_tests(${name} PROPERTIES ENVIRONMENT "${arg_ENVIRONMENT}")
  else()
    gtest_discover_tests(${name})
  endif()
endfunction()
