# Functions that declare the packages, programs and tests of the project.

set(CHERVILMOUNT_WARNINGS -Wall -Wextra -Wpedantic -Werror -Wshadow -Wnon-virtual-dtor -Woverloaded-virtual)

# Compiler and linker settings of all targets of the project.
add_library(chervilmount_build_settings INTERFACE)
target_compile_options(chervilmount_build_settings INTERFACE ${CHERVILMOUNT_WARNINGS})
if(CHERVILMOUNT_SANITIZE)
    target_compile_options(chervilmount_build_settings INTERFACE -fsanitize=address,undefined
                           -fno-sanitize-recover=all -fno-omit-frame-pointer)
    # GCC 12 gives false positives for these warnings in instrumented Boost.Asio code. They stay enabled
    # in builds without sanitizers.
    target_compile_options(chervilmount_build_settings INTERFACE -Wno-maybe-uninitialized
                           -Wno-mismatched-new-delete)
    target_link_options(chervilmount_build_settings INTERFACE -fsanitize=address,undefined)
endif()

# chervilmount_add_package(<name> [DEPENDS <target>...])
# Declares the library Chervilmount::<name> from all sources below the current folder except main.cpp.
function(chervilmount_add_package name)
    cmake_parse_arguments(ARG "" "" "DEPENDS" ${ARGN})
    file(GLOB_RECURSE sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cpp
         ${CMAKE_CURRENT_SOURCE_DIR}/*.cc)
    list(FILTER sources EXCLUDE REGEX "/main\\.cpp$")
    add_library(chervilmount_${name} STATIC ${sources})
    add_library(Chervilmount::${name} ALIAS chervilmount_${name})
    set_target_properties(chervilmount_${name} PROPERTIES EXPORT_NAME ${name})
    target_include_directories(chervilmount_${name} PUBLIC
        $<BUILD_INTERFACE:${CMAKE_SOURCE_DIR}/packages>
        $<INSTALL_INTERFACE:${CMAKE_INSTALL_INCLUDEDIR}/chervilmount>)
    target_compile_features(chervilmount_${name} PUBLIC cxx_std_20)
    target_link_libraries(chervilmount_${name} PUBLIC ${ARG_DEPENDS}
                          PRIVATE $<BUILD_INTERFACE:chervilmount_build_settings>)
    install(TARGETS chervilmount_${name} EXPORT ChervilmountTargets)
    install(DIRECTORY ${CMAKE_CURRENT_SOURCE_DIR}
            DESTINATION ${CMAKE_INSTALL_INCLUDEDIR}/chervilmount FILES_MATCHING PATTERN "*.h")
endfunction()

# chervilmount_add_program(<name> SOURCES <file>... [DEPENDS <target>...] [INSTALL])
function(chervilmount_add_program name)
    cmake_parse_arguments(ARG "INSTALL" "" "SOURCES;DEPENDS" ${ARGN})
    add_executable(${name} ${ARG_SOURCES})
    target_link_libraries(${name} PRIVATE ${ARG_DEPENDS} chervilmount_build_settings)
    if(ARG_INSTALL)
        install(TARGETS ${name})
    endif()
endfunction()

# chervilmount_add_tests(<name> [DEPENDS <target>...])
# Declares one Catch2 program from all sources of the current folder; each test case becomes a ctest test.
function(chervilmount_add_tests name)
    cmake_parse_arguments(ARG "" "" "DEPENDS" ${ARGN})
    file(GLOB_RECURSE sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cpp)
    # Stand-ins and soaks are targets of their own.
    list(FILTER sources EXCLUDE REGEX "/(standin|soak)/")
    add_executable(${name} ${sources})
    target_include_directories(${name} PRIVATE ${CMAKE_SOURCE_DIR}/tests ${CMAKE_SOURCE_DIR})
    target_link_libraries(${name} PRIVATE ${ARG_DEPENDS} chervilmount_test_main
                          chervilmount_build_settings)
    target_compile_definitions(${name} PRIVATE CHERVILMOUNT_SOURCE_DIR="${CMAKE_SOURCE_DIR}"
                               CHERVILMOUNT_BINARY_DIR="${CMAKE_BINARY_DIR}")
    catch_discover_tests(${name} TEST_PREFIX "${name}: " PROPERTIES TIMEOUT 600)
endfunction()

# Installs the exported targets and the package configuration file.
function(chervilmount_install_export)
    include(CMakePackageConfigHelpers)
    configure_package_config_file(cmake/ChervilmountConfig.cmake.in
        ${CMAKE_BINARY_DIR}/ChervilmountConfig.cmake
        INSTALL_DESTINATION ${CMAKE_INSTALL_LIBDIR}/cmake/Chervilmount)
    write_basic_package_version_file(${CMAKE_BINARY_DIR}/ChervilmountConfigVersion.cmake
        COMPATIBILITY SameMinorVersion)
    install(FILES ${CMAKE_BINARY_DIR}/ChervilmountConfig.cmake
                  ${CMAKE_BINARY_DIR}/ChervilmountConfigVersion.cmake
            DESTINATION ${CMAKE_INSTALL_LIBDIR}/cmake/Chervilmount)
    install(EXPORT ChervilmountTargets NAMESPACE Chervilmount::
            DESTINATION ${CMAKE_INSTALL_LIBDIR}/cmake/Chervilmount)
endfunction()
